package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	rowBytes     = 65536
	callBytes    = 1 << 20
	maxEntries   = 100
	maxKeyBytes  = 200
	pageRows     = 500
	historyTime  = 20 * time.Second
	answerTime   = 3 * time.Millisecond
	maxFeedWait  = 30 * time.Second
	maxTableName = 200
)

type (
	rowKey struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	row struct {
		rowKey
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"row_version"`
		Deleted bool   `json:"deleted,omitempty"`
		at      time.Time
	}

	transaction struct {
		Expect []row    `json:"expect"`
		Writes []row    `json:"writes"`
		Remove []rowKey `json:"remove"`
	}

	// store is a stand-in of the platform's store: the row calls of PROTOCOL.md with
	// their limits. It keeps its rows in memory.
	store struct {
		began time.Time
		log   *record

		// part is held during a transaction: the transactions of a part are applied one
		// after another. All rows of the system are in one part.
		part sync.Mutex

		mu      sync.Mutex
		rows    map[rowKey]row
		version uint64
		history []row
		dropped uint64
		changed chan struct{}
		refused map[string]int
	}
)

func newStore(log *record) *store {
	return &store{
		began: time.Now(), log: log, rows: make(map[rowKey]row),
		changed: make(chan struct{}), refused: make(map[string]int),
	}
}

// ServeHTTP answers a call of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.commit(w, r)
	case "GET /rows-get":
		time.Sleep(answerTime)
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	body := http.MaxBytesReader(w, r.Body, 16<<20)
	counted := &countingReader{inner: body}
	if err := json.NewDecoder(counted).Decode(&t); err != nil {
		s.refuse(w, http.StatusBadRequest, "body not valid")
		return
	}
	s.part.Lock()
	time.Sleep(answerTime)
	status, answer, reason := s.apply(t, counted.n)
	s.part.Unlock()
	if status == http.StatusBadRequest || status == http.StatusForbidden {
		s.refuse(w, status, reason)
		return
	}
	s.reply(w, status, answer)
}

// refuse answers a call that the store doesn't carry out, and counts the reason.
func (s *store) refuse(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.refused[reason]++
	first := s.refused[reason] == 1
	s.mu.Unlock()
	if first {
		s.log.add("store", "first call refused: status %d, %s", status, reason)
	}
	s.reply(w, status, map[string]any{"error": reason})
}

// invalid returns why the store can't accept a transaction of the system, or "".
func invalid(t transaction, size int) (int, string) {
	if size > callBytes {
		return http.StatusBadRequest, "call larger than 1 MB"
	}
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, "more than 100 entries"
	}
	for _, written := range t.Writes {
		switch {
		case written.Table == "op" || written.Table == "servers":
			return http.StatusForbidden, "table of the operator"
		case len(written.Value) > rowBytes:
			return http.StatusBadRequest, "value of a row of table " + written.Table + " larger than row_bytes"
		case len(written.Table) > maxTableName || len(written.Part) > maxKeyBytes || len(written.Key) > maxKeyBytes:
			return http.StatusBadRequest, "name longer than 200 bytes"
		}
	}
	return 0, ""
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(t transaction, size int) (int, map[string]any, string) {
	if status, reason := invalid(t, size); reason != "" {
		return status, nil, reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range t.Expect {
		have, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, have)
		}
		holds = holds && have.Version == e.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version}, ""
	}
	s.write(t)
	return http.StatusOK, map[string]any{"row_version": s.version}, ""
}

// write carries out a transaction. The caller holds the lock.
func (s *store) write(t transaction) {
	now := time.Now()
	s.version++
	for _, r := range t.Writes {
		r.Version, r.at = s.version, now
		s.rows[r.rowKey] = r
		s.history = append(s.history, r)
	}
	for _, key := range t.Remove {
		if _, ok := s.rows[key]; ok {
			delete(s.rows, key)
			s.history = append(s.history, row{rowKey: key, Version: s.version, Deleted: true, at: now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes a row for the operator.
func (s *store) operate(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(transaction{Writes: []row{{rowKey: rowKey{Table: "op", Key: key}, Value: data}}})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	found := []row{}
	for key, have := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") &&
			(q.Get("target") == "" || key.Key < q.Get("target")) {
			found = append(found, have)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < limit {
		if size += len(found[n].Value) * 4 / 3; size > callBytes && n > 0 {
			break
		}
		n++
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found[:n], "has_more": n < len(found), "row_version": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for expired := false; ; {
		s.mu.Lock()
		gone, version, changed := after < s.dropped, s.version, s.changed
		rows := []row{}
		for _, h := range s.history {
			if h.Version > after && h.Table == q.Get("table") {
				rows = append(rows, h)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// refusals returns how many calls were refused, by reason.
func (s *store) refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.refused))
	for reason, n := range s.refused {
		counts[reason] = n
	}
	return counts
}

// countingReader counts the bytes that are read.
type countingReader struct {
	inner interface{ Read([]byte) (int, error) }
	n     int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.inner.Read(p)
	c.n += n
	return n, err
}
