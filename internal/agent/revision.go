package agent

import "github.com/lovageroad/lovageroad/internal/wire"

// Revision returns the highest revision of the settings that a gate has sent.
func (a *Agent) Revision() wire.Revision {
	return a.revision
}
