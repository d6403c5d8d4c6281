package lovageroad

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/ingress"
	"github.com/lovageroad/lovageroad/internal/upstream"
)

// runnerRole runs a fake runner.
type runnerRole struct {
	settings RunnerSettings
}

// NewRunner returns the role of a fake runner of an upstream. Its tasks sleep
// and return their input as the answer. It is for tests and the dev command.
func NewRunner(settings RunnerSettings, _ ...Option) Role {
	return &runnerRole{settings: settings}
}

// Run serves the fake runner.
func (r *runnerRole) Run(ctx context.Context) error {
	server, err := serve(newIngress(), ingress.Peers, r.settings.Listen, upstream.NewFakeRunner().Handler(), nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}
