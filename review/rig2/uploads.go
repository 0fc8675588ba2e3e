package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of an upload, less than a quarter of what the configuration allows.
	uploadBytes = 14 << 20
	// uploadsPerMachine is the number of clients that upload at each machine. Together they use
	// less than its link of 1,000 Mbit/s.
	uploadsPerMachine = 7
	// lookupsPerMachine is the number of clients that send lookups at each machine.
	lookupsPerMachine = 5
	uploadStep        = 256 << 10
	uploadRate        = 16 << 20
	// downTime is how long the upstreams of the uploads are down, crashTimes when they crash.
	downTime = 5 * time.Second
)

var crashTimes = []time.Duration{8 * time.Second, 20 * time.Second, 32 * time.Second, 44 * time.Second}

// uploads holds what became of the lookups at another service, which is sound.
type uploads struct {
	mutex  sync.Mutex
	passed map[string]run
	// lost counts, for each machine, the lookups that had been passed on to a sound upstream
	// when their connection ended without an answer.
	lost         map[string]int
	served, sent int
	// uploaded counts the uploads by outcome.
	uploaded map[string]int
}

// runUploads lets clients upload while all upstreams of the uploads are down for some seconds,
// and others send lookups to a service that is sound.
func runUploads(c *caseRun) (bool, error) {
	f, err := newFleet(c.product, c.record, "bagmati-a", "bagmati-b", "bagmati-c")
	if err != nil {
		return false, err
	}
	defer f.close()
	s := &uploads{passed: map[string]run{}, lost: map[string]int{}, uploaded: map[string]int{}}
	reply := func(work time.Duration) func(*upstream, *http.Request, []byte) answer {
		return func(_ *upstream, q *http.Request, _ []byte) answer {
			return answer{status: http.StatusOK, body: []byte("done " + q.URL.Path), work: work}
		}
	}
	records, err := f.addUpstreams("partner-records", 1, 17, 2, reply(400*time.Millisecond), nil)
	if err != nil {
		return false, err
	}
	if _, err := f.addUpstreams("field-orders", 2, 13, 2, reply(160*time.Millisecond), func(r run) { s.arrived(r, c.record) }); err != nil {
		return false, err
	}
	f.configure(64<<20, []route{
		{"/lohu930/", "safe", "field-orders", time.Second, 400 * time.Millisecond, 2, 2},
		{"/sync/", "safe", "partner-records", 4 * time.Second, time.Second, 2, 2},
	}, "field-orders", "partner-records")
	f.addInstances(6)
	if err := f.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 56*time.Second)
	defer cancel()
	if c.trouble {
		for _, at := range crashTimes {
			time.AfterFunc(at, func() {
				c.record.printf("CRASH the upstreams of partner-records are down for %s", downTime)
				for _, u := range records {
					u.crashNow(downTime)
				}
			})
		}
	}
	body := bytes.Repeat([]byte("catalogue "), uploadBytes/10)
	group := sync.WaitGroup{}
	for _, i := range f.instances {
		for range uploadsPerMachine {
			group.Go(func() {
				for ctx.Err() == nil {
					s.upload(f, i, body)
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		for range lookupsPerMachine {
			group.Go(func() {
				for ctx.Err() == nil {
					s.lookUp(ctx, f, i)
				}
			})
		}
	}
	group.Wait()
	return s.judge(c.record, f), nil
}

func (s *uploads) arrived(r run, to *record) {
	to.printf("RUN %s at %s", r.id, r.upstream)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passed[r.id] = r
}

// upload sends one upload at the pace of its client's link.
func (s *uploads) upload(f *fleet, i *instance, body []byte) {
	conn, err := dialFront(i.front)
	if err != nil {
		return
	}
	defer conn.Close()
	id, end := newID(), time.Now().Add(8*time.Second)
	_ = conn.SetWriteDeadline(end)
	if _, err := io.WriteString(conn, requestHead(http.MethodPost, "/sync/"+id, f.host, id, 5*time.Second, len(body), "")); err != nil {
		return
	}
	begin := time.Now()
	for sent := 0; sent < len(body); {
		n, err := conn.Write(body[sent:min(sent+uploadStep, len(body))])
		if err != nil {
			break
		}
		sent += n
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / uploadRate * float64(time.Second)))))
	}
	a := conn.readAnswer(id, http.MethodPost, end)
	outcome := strings.SplitN(a.text(), ",", 2)[0]
	if a.err != nil {
		outcome = "no answer"
	}
	f.record.printf("UPLOAD %s to %s: %s", id, i.name, outcome)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.uploaded[outcome]++
}

// lookUp sends lookups on one kept connection until it ends.
func (s *uploads) lookUp(ctx context.Context, f *fleet, i *instance) {
	conn, err := dialFront(i.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		id := newID()
		a := conn.exchange(http.MethodGet, "/lohu930/"+id, f.host, id, 2*time.Second, nil)
		f.record.printf("LOOKUP %s to %s: %s", id, i.name, a.text())
		s.mutex.Lock()
		s.sent++
		r, passed := s.passed[id]
		lost := a.err != nil && !isTimeout(a.err) && passed
		if lost {
			s.lost[i.name]++
		}
		if a.err == nil && a.status == http.StatusOK {
			s.served++
		}
		s.mutex.Unlock()
		if lost {
			f.record.printf("LOST lookup %s, passed on by %s to %s: %v", id, i.name, r.upstream, a.err)
		}
		if a.err != nil || a.header.Get("Connection") == "close" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *uploads) judge(r *record, f *fleet) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.say("uploads by outcome: %s; lookups: %d sent, %d served", fmt.Sprint(s.uploaded), s.sent, s.served)
	most := 0
	for _, i := range f.instances {
		n := s.lost[i.name]
		most = max(most, n)
		r.say("%s held %d MiB at most (limit %d), ended by itself %d times and closed %d connections with a lookup that it had passed on to a sound upstream (allowed: %d)",
			i.name, i.peakMiB(), memoryMB, i.ends(), n, allowedCloses)
	}
	return most > allowedCloses
}
