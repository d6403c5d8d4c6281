// Package operator serves the interface for operators over HTTP: templates,
// client accounts and the floor's cooling budgets, each with its history.
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
	// MaxBody is the largest body in bytes of an operator's request.
	MaxBody = 1 << 20

	// DefaultHistory is the number of changes that a history shows.
	DefaultHistory = 20

	// MaxHistory is the largest number of changes that a history shows.
	MaxHistory = 200

	// CatchUpTimeout is how long a gate waits for a revision that an operator has
	// seen at another gate.
	CatchUpTimeout = 2 * time.Second

	// CatchUpInterval is the time between two looks for it.
	CatchUpInterval = 100 * time.Millisecond

	// ChangeHeader is the header that identifies a change, so that a repeated
	// request does not make it twice.
	ChangeHeader = "Idempotency-Key"
)

type (
	// Server serves operators.
	Server struct {
		region    floor.RegionID
		operators settings.Operators
		edits     *loop.Exchange[gate.RequestID, gate.Edited]
		views     *loop.Exchange[gate.RequestID, gate.Viewed]
		recalls   *loop.Exchange[gate.RequestID, gate.Recalled]
	}

	authorKey struct{}
)

// New returns a server for the operators of a region that hands requests to the
// gate by post.
func New(post func(ctx context.Context, event machine.Event) bool, region floor.RegionID, operators settings.Operators) *Server {
	return &Server{
		region:    region,
		operators: operators,
		edits:     loop.NewExchange[gate.RequestID, gate.Edited](post),
		views:     loop.NewExchange[gate.RequestID, gate.Viewed](post),
		recalls:   loop.NewExchange[gate.RequestID, gate.Recalled](post),
	}
}

// Routes adds the routes for operators.
func (s *Server) Routes(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(s.Authenticate)
		s.routes(r, account.KindTemplate, "/v1/templates")
		s.routes(r, account.KindAccount, "/v1/accounts")
		s.subjectRoutes(r, account.KindFloor, "/v1/floor")
		r.Post("/v1/accounts/{name}/tokens", s.addToken)
		r.Delete("/v1/accounts/{name}/tokens/{token}", s.removeToken)
	})
}

func (s *Server) routes(r chi.Router, kind account.Kind, path string) {
	r.Get(path, s.list(kind))
	s.subjectRoutes(r, kind, path+"/{name}")
}

func (s *Server) subjectRoutes(r chi.Router, kind account.Kind, path string) {
	r.Get(path, s.subject(kind, s.get))
	r.Put(path, s.subject(kind, s.put))
	r.Patch(path, s.subject(kind, s.patch))
	r.Delete(path, s.subject(kind, s.remove))
	r.Get(path+"/history", s.subject(kind, s.history))
	r.Get(path+"/diff", s.subject(kind, s.diff))
	r.Post(path+"/rollback", s.subject(kind, s.rollback))
}

// subject returns a handler that passes the subject that the path names.
func (s *Server) subject(kind account.Kind, handle func(http.ResponseWriter, *http.Request, account.Subject)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handle(w, r, account.Subject{Kind: kind, Name: chi.URLParam(r, "name")})
	}
}

// Authenticate lets a request through whose token is an operator's, and takes
// the operator for the author of its changes. A browser gives the token as the
// password of basic authentication.
func (s *Server) Authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		author := s.operator(account.HashToken(tokenOf(r)))
		if author == "" {
			w.Header().Add("WWW-Authenticate", "Bearer")
			w.Header().Add("WWW-Authenticate", `Basic realm="lovageroad"`)
			writeProblem(w, Problem{Details: problem.Details{Status: http.StatusUnauthorized, Field: "Authorization", Detail: "the token is no operator's"}})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

// operator returns the name of the operator with a token, or nothing.
func (s *Server) operator(hash account.TokenHash) string {
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

func author(r *http.Request) string {
	name, _ := r.Context().Value(authorKey{}).(string)
	return name
}

// Handle passes an answer of the gate to the request that waits for it.
func (s *Server) Handle(effect machine.Effect) {
	switch e := effect.(type) {
	case gate.Edited:
		s.edits.Answer(e.Request, e)
	case gate.Viewed:
		s.views.Answer(e.Request, e)
	case gate.Recalled:
		s.recalls.Answer(e.Request, e)
	}
}

func (s *Server) view(ctx context.Context) (gate.Viewed, bool) {
	return s.views.Ask(ctx, func(id gate.RequestID) machine.Event { return gate.View{Request: id} }, nil)
}
