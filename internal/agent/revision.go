package agent

import "github.com/lovageroad/lovageroad/internal/wire"

// Revision returns the highest revision of settings that the agent has seen.
func (a *Agent) Revision() wire.Revision {
	return a.revision
}
