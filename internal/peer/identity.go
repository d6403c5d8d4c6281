package peer

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// tlsStateKey is the context key of the connection's TLS state.
type tlsStateKey struct{}

// withTLSState passes the connection's TLS state on in the context.
func withTLSState(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tlsStateKey{}, r.TLS)))
	})
}

// checkSender returns an mtls.IdentityError unless the connection's certificate
// carries the sender's address and, for messages that only gates send, the role
// gate. Without TLS, as on loopback, nothing is checked.
func checkSender(ctx context.Context, message machine.Message) error {
	state, ok := ctx.Value(tlsStateKey{}).(*tls.ConnectionState)
	if !ok || state == nil {
		return nil
	}
	if err := mtls.CheckNode(state, message.From); err != nil {
		return err
	}
	if wire.FromAgent(message.Body) {
		return nil
	}
	return mtls.CheckRole(state, mtls.RoleGate)
}
