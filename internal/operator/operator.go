// Package operator serves the HTTP API with which operators manage the settings:
// templates, client accounts and the floor's cooling budgets. Each of these
// subjects has a revision history, and a change is conditional on the revision
// that the operator started from.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/problem"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 1 << 20

	// DefaultHistory is the number of changes that a history lists by default.
	DefaultHistory = 20

	// MaxHistory is the largest number of changes that a history lists.
	MaxHistory = 200

	// CatchUpTimeout is the longest time for which a gate waits to receive a
	// revision that the operator has seen at another gate.
	CatchUpTimeout = 2 * time.Second

	// CatchUpInterval is the polling interval of that wait.
	CatchUpInterval = 100 * time.Millisecond

	// ChangeIDHeader is the request header that identifies a change, which makes a
	// retried request idempotent.
	ChangeIDHeader = "Idempotency-Key"
)

type (
	// Server handles operators' requests: it turns each into an event of the
	// gate's state machine and writes the reply as the HTTP response. It is safe
	// for use by several goroutines.
	Server struct {
		region    floor.RegionID
		operators settings.Operators
		edits     *loop.Exchange[gate.RequestID, gate.Edited]
		views     *loop.Exchange[gate.RequestID, gate.Viewed]
		histories *loop.Exchange[gate.RequestID, gate.HistoryRead]
	}

	// authorKey is the key of the operator's name in a request's context.
	authorKey struct{}
)

// New returns a server for the operators of a region that posts the requests as
// events to the gate.
func New(post func(ctx context.Context, event machine.Event) bool, region floor.RegionID, operators settings.Operators) *Server {
	return &Server{
		region:    region,
		operators: operators,
		edits:     loop.NewExchange[gate.RequestID, gate.Edited](post),
		views:     loop.NewExchange[gate.RequestID, gate.Viewed](post),
		histories: loop.NewExchange[gate.RequestID, gate.HistoryRead](post),
	}
}

// Routes adds the API's routes to the router. All require authentication.
func (s *Server) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(s.Authenticate)
		s.collectionRoutes(r, account.KindTemplate, "/v1/templates")
		s.collectionRoutes(r, account.KindAccount, "/v1/accounts")
		s.subjectRoutes(r, account.KindFloor, "/v1/floor")
		r.Post("/v1/accounts/{name}/tokens", s.addToken)
		r.Delete("/v1/accounts/{name}/tokens/{token}", s.removeToken)
	})
}

// collectionRoutes adds the routes of a kind that has many subjects, each with a
// name.
func (s *Server) collectionRoutes(r chi.Router, kind account.Kind, path string) {
	r.Get(path, s.list(kind))
	s.subjectRoutes(r, kind, path+"/{name}")
}

func (s *Server) subjectRoutes(r chi.Router, kind account.Kind, path string) {
	r.Get(path, s.subjectHandler(kind, s.get))
	r.Put(path, s.subjectHandler(kind, s.put))
	r.Patch(path, s.subjectHandler(kind, s.patch))
	r.Delete(path, s.subjectHandler(kind, s.remove))
	r.Get(path+"/history", s.subjectHandler(kind, s.history))
	r.Get(path+"/diff", s.subjectHandler(kind, s.diff))
	r.Post(path+"/rollback", s.subjectHandler(kind, s.rollback))
}

// subjectHandler returns a handler that calls handle with the subject that the path
// names.
func (s *Server) subjectHandler(kind account.Kind, handle func(http.ResponseWriter, *http.Request, account.Subject)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handle(w, r, account.Subject{Kind: kind, Name: chi.URLParam(r, "name")})
	}
}

// Authenticate is middleware that accepts only requests with an operator's token
// and records the operator as the author of the changes. Programs send a bearer
// token; browsers send the token as the password of basic authentication.
func (s *Server) Authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		author := s.operatorName(account.HashToken(tokenOf(r)))
		if author == "" {
			w.Header().Add("WWW-Authenticate", "Bearer")
			w.Header().Add("WWW-Authenticate", `Basic realm="lovageroad"`)
			writeProblem(w, Problem{Details: problem.Details{Status: http.StatusUnauthorized, Field: "Authorization", Detail: "the token is not an operator's"}})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

// operatorName returns the name of the operator with a token hash, or the empty
// string. It compares in constant time.
func (s *Server) operatorName(hash account.TokenHash) string {
	name := ""
	for _, o := range s.operators {
		if subtle.ConstantTimeCompare([]byte(o.Hash), []byte(hash)) == 1 {
			name = o.Name
		}
	}
	return name
}

func tokenOf(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return bearer
}

// authorOf returns the name of the operator that Authenticate recorded, or the
// empty string if there is none.
func authorOf(r *http.Request) string {
	name, _ := r.Context().Value(authorKey{}).(string)
	return name
}

// Handle delivers a reply of the gate to the request that waits for it, and
// ignores all other effects.
func (s *Server) Handle(effect machine.Effect) {
	switch e := effect.(type) {
	case gate.Edited:
		s.edits.Answer(e.Request, e)
	case gate.Viewed:
		s.views.Answer(e.Request, e)
	case gate.HistoryRead:
		s.histories.Answer(e.Request, e)
	}
}

// view asks the gate for the settings that it holds. It returns false if the
// client has disconnected.
func (s *Server) view(ctx context.Context) (gate.Viewed, bool) {
	return s.views.Ask(ctx, func(id gate.RequestID) machine.Event { return gate.View{Request: id} }, nil)
}
