package lovageroad

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/platform"
)

// platformRole runs the stand-in for the platform.
type platformRole struct {
	settings PlatformSettings
	memory   *platform.Memory
}

// NewPlatform returns the stand-in for the platform's table service and object
// store. It keeps all in memory and is for tests and the command dev.
func NewPlatform(settings PlatformSettings, _ ...Option) Role {
	return &platformRole{settings: settings, memory: platform.NewMemory()}
}

// Run serves the stand-in.
func (p *platformRole) Run(ctx context.Context) error {
	server, err := serve(p.settings.Listen, platform.NewServer(p.memory), nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}
