package meter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a page whose start is filled by the metrics of the runtime: the record of an
// incident kept only that start.
func TestMetricsOfTheRuntimeHaveAPageOfTheirOwn(t *testing.T) {
	m := New()
	m.Scope.Counter("requests").Inc(1)
	require.NoError(t, m.Close())
	page := func(path string) string {
		w := httptest.NewRecorder()
		m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, http.StatusOK, w.Code)
		return w.Body.String()
	}
	require.Contains(t, page(Path), "oriolecourse_requests 1")
	require.NotContains(t, page(Path), "go_")
	require.Contains(t, page(RuntimePath), "go_goroutines")
}
