package assembler

import (
	"io"
	"net/http"
	"time"
)

// poll reads the platform's documents until done is closed.
func (i *Instance) poll(done <-chan struct{}) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		i.fetch("/v1/settings?after=0", func(text []byte) { i.settings.Offer(text, 0, 0, time.Now()) })
		i.fetch("/v1/list?after=0", func(text []byte) { i.list.Offer(text, 0, 0, time.Now()) })
		select {
		case <-done:
			return nil
		case <-t.C:
		}
	}
}

func (i *Instance) fetch(path string, offer func(text []byte)) {
	p, err := http.Get(i.options.Platform + path)
	if err != nil {
		return
	}
	defer p.Body.Close()
	if text, err := io.ReadAll(p.Body); err == nil && p.StatusCode == http.StatusOK {
		offer(text)
	}
}
