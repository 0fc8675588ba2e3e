package assembler

import (
	"context"

	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/quarantiner"
	"oriolecourse.example/oriolecourse/internal/process/server"
	"oriolecourse.example/oriolecourse/internal/process/tracker"
	"oriolecourse.example/oriolecourse/internal/request/handler"
)

// forward passes an operation to its executor.
func (i *Instance) forward(_ context.Context, _ executor.Token, _ *handler.Request) *handler.Outcome {
	return handler.Doubt(handler.CauseUnreached, 0)
}

func (i *Instance) tellLoss(quarantiner.Rumour) {}

func (i *Instance) tellLeaving([]tracker.Rumour) {}

// peers returns the members that the instance knows.
func (i *Instance) peers() []server.Peer { return nil }

// cut forbids or allows the exchange with a peer.
func (i *Instance) cut(string, bool) error { return nil }
