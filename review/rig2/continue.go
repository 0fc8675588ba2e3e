package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// longBytes is the size of a response that does not fit the buffers of a connection whose
	// client does not read.
	longBytes = 8_000_000
	// orderBytes is the size of the request behind it.
	orderBytes = 4000
	// unreadTime is how long a slow client leaves a response unread.
	unreadTime = 400 * time.Millisecond
	// stepBytes and stepTime set the pace of a slow client, about 30 MB a second.
	stepBytes, stepTime = 64 << 10, 2 * time.Millisecond
)

// slowReader reads at the pace of a slow client.
type slowReader struct{ reader io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(stepTime)
	return r.reader.Read(p[:min(len(p), stepBytes)])
}

// runContinue lets clients read a large response slowly, and send meanwhile a further safe
// request with a body, before which they ask for leave by "Expect: 100-continue".
func runContinue(c *caseRun) (bool, error) {
	f, err := newFleet(c.product, c.record, "bagmati-a", "bagmati-b", "bagmati-c")
	if err != nil {
		return false, err
	}
	defer f.close()
	body := bytes.Repeat([]byte("timetable "), longBytes/10)
	serve := func(_ *upstream, q *http.Request, _ []byte) answer {
		if q.Method == http.MethodPost {
			return answer{status: http.StatusOK, body: []byte("trip"), work: 100 * time.Millisecond}
		}
		return answer{status: http.StatusOK, body: body, work: 30 * time.Millisecond}
	}
	if _, err := f.addUpstreams("feeds", 1, 14, 2, serve, nil); err != nil {
		return false, err
	}
	f.configure(1<<20, []route{
		{"/feeds/", "download", "feeds", 10 * time.Second, 3 * time.Second, 2, 2},
		{"/trips/", "safe", "feeds", 2500 * time.Millisecond, 400 * time.Millisecond, 0, 2},
	}, "feeds")
	f.addInstances(3)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	mutex, group, sent, whole, wrong := sync.Mutex{}, sync.WaitGroup{}, 0, 0, 0
	for range 4 {
		group.Go(func() {
			for ctx.Err() == nil {
				a := f.readSlowly(ctx, c.trouble)
				mutex.Lock()
				sent++
				if a.err == nil && a.status == http.StatusOK {
					whole++
					if !bytes.Equal(a.body, body) {
						wrong++
					}
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	c.record.say("%d large responses were asked for, %d arrived as whole successes, %d of these with other bytes than the upstream's", sent, whole, wrong)
	return wrong > 0, nil
}

// readSlowly sends a request and reads the response. With trouble, it reads slowly and sends the
// second request meanwhile; otherwise it reads at once and sends the second one after that.
func (f *fleet) readSlowly(ctx context.Context, trouble bool) result {
	front := f.fronts(ctx)[0]
	dial := dialFront
	if trouble {
		dial = dialSlowly
	}
	conn, err := dial(front)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	first, second := newID(), newID()
	end := time.Now().Add(10 * time.Second)
	if _, err = io.WriteString(conn, requestHead(http.MethodGet, "/feeds/"+first, f.host, first, 10*time.Second, 0, "")); err != nil {
		return result{err: err}
	}
	ask := func() {
		_, _ = io.WriteString(conn, requestHead(http.MethodPost, "/trips/"+second, f.host, second, 5*time.Second, orderBytes, "Expect: 100-continue\r\n"))
	}
	if trouble {
		time.Sleep(unreadTime / 2)
		ask()
		time.Sleep(unreadTime / 2)
		conn.reader.Reset(slowReader{conn.Conn})
	}
	a := conn.readAnswer(first, http.MethodGet, end)
	f.record.printf("ANSWER %s from %s: %s, signature %q, the line of the second request's leave is at byte %d of the body",
		first, f.nameOf(front), a.text(), a.header.Get("Upstream-Signature"), bytes.Index(a.body, []byte("HTTP/1.1 100")))
	if a.err != nil || bytes.Contains(a.body, []byte("HTTP/1.1 100")) {
		return a
	}
	if !trouble {
		ask()
	}
	f.finishSecond(conn, second, end)
	return a
}

// finishSecond reads the leave, sends the body and reads the answer to the second request.
func (f *fleet) finishSecond(conn *clientConn, id string, end time.Time) {
	_ = conn.SetReadDeadline(end)
	leave, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		f.record.printf("SECOND %s: %v", id, err)
		return
	}
	if leave.StatusCode == http.StatusContinue {
		_, _ = conn.Write(bytes.Repeat([]byte("x"), orderBytes))
		b := conn.readAnswer(id, http.MethodPost, end)
		f.record.printf("SECOND %s: %s", id, b.text())
		return
	}
	f.record.printf("SECOND %s: %d without leave", id, leave.StatusCode)
}
