package lovageroad

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/upstream"
)

// runnerRole runs the stand-in for a runner.
type runnerRole struct {
	settings RunnerSettings
}

// NewRunner returns the stand-in for the runner of an upstream. Its tasks sleep
// and answer with their input; it is for tests and the command dev.
func NewRunner(settings RunnerSettings, _ ...Option) Role {
	return &runnerRole{settings: settings}
}

// Run serves the stand-in.
func (r *runnerRole) Run(ctx context.Context) error {
	server, err := serve(r.settings.Listen, upstream.NewFake().Handler(), nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}
