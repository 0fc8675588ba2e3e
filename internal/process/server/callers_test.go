package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolecourse.example/oriolecourse/internal/request/handler"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// TestRejectedOperationIsUnknown guards against operations that are reported as not
// executed when they are rejected before the executor has seen them. An earlier request
// with the same operation id may have run.
func TestRejectedOperationIsUnknown(t *testing.T) {
	p := &resolver.Policy{Place: "p", Service: "s", Kind: "k", Deadline: time.Second, MaxBodyBytes: 4}
	callers := &Callers{
		Place: "p",
		Settings: func() *resolver.Snapshot {
			return &resolver.Snapshot{Policies: map[resolver.Key]*resolver.Policy{{Place: "p", Service: "s", Kind: "k"}: p}}
		},
		Leaving: func() bool { return false },
		Handle: func(context.Context, *handler.Request) *handler.Outcome {
			return &handler.Outcome{Kind: handler.Done, Status: http.StatusNoContent}
		},
		Tracer: noop.NewTracerProvider().Tracer(""),
	}
	for _, test := range []struct {
		path, body, operation string
		status                int
		outcome               handler.OutcomeKind
	}{
		{"/s/s/k", "body", "", http.StatusNoContent, handler.Done},
		{"/s/s/gone", "", "", http.StatusNotFound, handler.NotExecuted},
		{"/s/s/gone", "", "id", http.StatusNotFound, handler.Unknown},
		{"/s/s", "", "id", http.StatusNotFound, handler.Unknown},
		{"/s/s/k", "large", "", http.StatusRequestEntityTooLarge, handler.NotExecuted},
		{"/s/s/k", "large", "id", http.StatusRequestEntityTooLarge, handler.Unknown},
	} {
		req := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
		req.Header.Set(handler.HeaderOperation, test.operation)
		w := httptest.NewRecorder()
		callers.Router().ServeHTTP(w, req)
		require.Equal(t, test.status, w.Code, test)
		require.Equal(t, string(test.outcome), w.Header().Get(handler.HeaderOutcome), test)
		require.Equal(t, test.outcome == handler.NotExecuted, w.Header().Get(handler.HeaderFinal) != "", test)
	}
}
