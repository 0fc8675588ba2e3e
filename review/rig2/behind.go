package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// downloadBytes is the size of a large response: the greatest of the site with downloads.
	downloadBytes = 540_000
	// brokenAt is how much of it an upstream has sent when it breaks off.
	brokenAt = 400_000
	// garbleShare of the upstreams break off garbleRate of their answers.
	garbleShare, garbleRate = 0.5, 0.05
	// allowedCloses is how often a machine may close a connection with a request that was
	// passed on.
	allowedCloses = 3
)

// behind holds what has become of the requests that clients sent behind a download.
type behind struct {
	mutex sync.Mutex
	// passed holds the requests that have reached an upstream that answers whole, by id.
	passed map[string]run
	// broken holds the downloads whose answer an upstream has broken off.
	broken map[string]bool
	// unanswered counts, for each machine, the requests that were passed on to a sound
	// upstream and whose connection ended without an answer.
	unanswered map[string]int
	sent       int
}

// runBehind lets clients send a lookup behind each download while upstreams break off a few
// of their answers.
func runBehind(c *caseRun) (bool, error) {
	f, err := newFleet(c.product, c.record, "bagmati-a", "bagmati-b", "bagmati-c")
	if err != nil {
		return false, err
	}
	defer f.close()
	s := &behind{passed: map[string]run{}, broken: map[string]bool{}, unanswered: map[string]int{}}
	body := bytes.Repeat([]byte("timetable "), downloadBytes/10)
	garbling := map[*upstream]bool{}
	feeds := func(u *upstream, q *http.Request, _ []byte) answer {
		a := answer{status: http.StatusOK, body: body, work: 130 * time.Millisecond}
		if garbling[u] && rand.Float64() < garbleRate {
			id := q.Header.Get("Request-Id")
			s.mutex.Lock()
			s.broken[id] = true
			s.mutex.Unlock()
			c.record.printf("BREAK %s breaks off its answer to %s", u.currentID(), id)
			a.write = func(w io.Writer, head string) {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head, len(body))
				_, _ = w.Write(body[:brokenAt])
			}
		}
		return a
	}
	planner := func(_ *upstream, q *http.Request, _ []byte) answer {
		return answer{status: http.StatusOK, body: []byte("trip " + q.URL.Path), work: 160 * time.Millisecond}
	}
	passed := func(r run) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.passed[r.id] = r
		c.record.printf("RUN %s at %s", r.id, r.upstream)
	}
	large, err := f.addUpstreams("feeds", 1, 14, 2, feeds, nil)
	if err != nil {
		return false, err
	}
	if _, err := f.addUpstreams("planner", 2, 14, 2, planner, passed); err != nil {
		return false, err
	}
	f.configure(1<<20, []route{
		{"/feeds/", "download", "feeds", 5 * time.Second, 3 * time.Second, 2, 2},
		{"/trips/", "safe", "planner", 2500 * time.Millisecond, 400 * time.Millisecond, 0, 2},
	}, "feeds", "planner")
	f.addInstances(3)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	if c.trouble {
		for _, u := range large[:int(garbleShare*float64(len(large)))] {
			garbling[u] = true
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	group := sync.WaitGroup{}
	for range 12 {
		group.Go(func() {
			for ctx.Err() == nil {
				s.useConnection(ctx, f)
			}
		})
	}
	group.Wait()
	c.record.say("instances that ended by themselves: %v", f.endedByThemselves())
	return s.judge(c.record, f), nil
}

// useConnection sends pairs of requests on one kept connection until it ends.
func (s *behind) useConnection(ctx context.Context, f *fleet) {
	front := f.fronts(ctx)[0]
	conn, err := dialFront(front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		first, second := newID(), newID()
		f.record.printf("SENT %s and, behind it, %s to %s", first, second, f.nameOf(front))
		_, err := io.WriteString(conn, requestHead(http.MethodGet, "/feeds/"+first, f.host, first, 10*time.Second, 0, "")+
			requestHead(http.MethodGet, "/trips/"+second, f.host, second, 5*time.Second, 0, ""))
		if err != nil {
			return
		}
		end := time.Now().Add(10 * time.Second)
		a := conn.readAnswer(first, http.MethodGet, end)
		if a.err == nil {
			a = conn.readAnswer(second, http.MethodGet, end)
			if a.err == nil {
				f.record.printf("ANSWERED %s: %s and, behind it, %s: %s", f.nameOf(front), first, second, a.text())
				s.add(1)
				time.Sleep(300 * time.Millisecond)
				continue
			}
		}
		s.add(1)
		// What was passed on is known to the upstream by now.
		time.Sleep(300 * time.Millisecond)
		s.mutex.Lock()
		r, passed := s.passed[second]
		if passed && !isTimeout(a.err) {
			s.unanswered[f.nameOf(front)]++
		}
		broken := s.broken[first]
		s.mutex.Unlock()
		f.record.printf("CLOSED %s: no whole answer to %s (broken off by its upstream: %v); %s behind it was passed on to %q (%v): %v",
			f.nameOf(front), first, broken, second, r.upstream, passed, a.err)
		return
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

func (s *behind) add(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent += n
}

func (s *behind) judge(r *record, f *fleet) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	most := 0
	for _, i := range f.instances {
		n := s.unanswered[i.name]
		r.say("%s has closed %d connections with a request that it had passed on to a sound upstream (allowed: %d)", i.name, n, allowedCloses)
		most = max(most, n)
	}
	r.say("%d pairs were sent, upstreams broke off %d answers", s.sent, len(s.broken))
	return most > allowedCloses
}
