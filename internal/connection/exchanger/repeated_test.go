package exchanger

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/connection/sender"
)

// write writes texts with a pause between them.
func write(c net.Conn, texts ...string) {
	for k, text := range texts {
		if k > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = io.WriteString(c, text)
	}
}

// Guards against a health response that a faulty target sends once more and that a caller gets
// as the success of its request: health responses name no request.
func TestHealthResponseOnceMoreIsNoAnswer(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		const health = "HTTP/1.1 200 OK\r\nInstance-Id: i\r\nContent-Length: 0\r\n\r\n"
		p := startTarget(t, func(c net.Conn, id string, _ int) bool {
			if id == "" {
				write(c, health)
				return true
			}
			write(c, health, completeResponse(id, "body "+id))
			return true
		})
		x := New()
		for k := range 3 {
			_, _, err := send(x, p, "", false)
			require.NoError(t, err)
			response, effect, err := send(x, p, fmt.Sprint(k), nonIdempotent)
			require.NoError(t, err)
			require.Equal(t, sender.Done, effect)
			require.Equal(t, fmt.Sprint("body ", k), string(response.Body))
		}
	}
}
