package lovageroad

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/ingress"
	"github.com/lovageroad/lovageroad/internal/platform"
)

// platformRole runs the fake platform.
type platformRole struct {
	settings PlatformSettings
	memory   *platform.Memory
}

// NewPlatform returns the role of a fake platform: its table service and object
// store. It keeps its data in memory only and is for tests and the dev command.
func NewPlatform(settings PlatformSettings, _ ...Option) Role {
	return &platformRole{settings: settings, memory: platform.NewMemory()}
}

// Run serves the fake platform.
func (p *platformRole) Run(ctx context.Context) error {
	server, err := serve(newIngress(), ingress.Peers, p.settings.Listen, platform.NewServer(p.memory), nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}
