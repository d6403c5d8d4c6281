package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// history is how long the store keeps changes (history_s).
	history = 20 * time.Second

	// answerTime is how long a read or a transaction takes.
	answerTime = 4 * time.Millisecond

	// partWrites is how many transactions a second the part handles, one after another
	// (part_writes_per_s).
	partWrites = 300
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type change struct {
	row
	at time.Time
}

// store is a stand-in of the platform's table service: one counter for all versions, atomic
// transactions, linearizable reads and a change feed.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	changes []change
	// dropped is the version up to which the history was dropped.
	dropped uint64
	version uint64
	changed chan struct{}
	began   time.Time
	address string
	server  *http.Server

	// distance is the time for the way there and back, and bitsPerSecond what the link of a
	// machine carries, 0 for no bound.
	distance      time.Duration
	bitsPerSecond int64

	// largestFeed is the size of the largest answer of the feed.
	largestFeed int

	// free is when the part has handled all transactions that wait.
	free time.Time
}

func newStore(address string) (*store, error) {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), began: time.Now(), address: address}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// setLink sets the time for the way there and back, and how many bits a second a link carries.
func (s *store) setLink(distance time.Duration, bitsPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distance, s.bitsPerSecond = distance, bitsPerSecond
}

// travel takes the time that an answer of a size is on its way.
func (s *store) travel(size int) {
	s.mu.Lock()
	distance, bitsPerSecond := s.distance, s.bitsPerSecond
	s.mu.Unlock()
	if bitsPerSecond > 0 {
		time.Sleep(distance + time.Duration(int64(size)*8*int64(time.Second)/bitsPerSecond))
	}
}

// largestRow returns the size of the largest value in a table.
func (s *store) largestRow(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0
	for k, r := range s.rows {
		if k.table == table {
			largest = max(largest, len(r.Value))
		}
	}
	return largest
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return s.version
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	now := time.Now()
	s.changes = append(s.changes, change{r, now})
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > history {
		s.dropped = s.changes[0].Version
		s.changes = s.changes[1:]
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"expect"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	r.Body = http.MaxBytesReader(w, r.Body, 1<<20)
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > 100 {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range t.Writes {
		if len(x.Value) > 65536 || len(x.Key) > 200 {
			s.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if x.Table == "op" || x.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	if s.free.Sub(now) > time.Second {
		s.mu.Unlock()
		s.answer(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	s.free = s.free.Add(time.Second / partWrites)
	turn := s.free
	s.mu.Unlock()
	time.Sleep(max(time.Until(turn), answerTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, x := range t.Expect {
		have, ok := s.rows[rowKey{x.Table, x.Part, x.Key}]
		if ok {
			current = append(current, have)
		}
		holds = holds && have.Version == x.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version})
		return
	}
	s.version++
	for _, x := range t.Writes {
		s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value, Version: s.version})
	}
	for _, x := range t.Remove {
		if _, ok := s.rows[rowKey{x.Table, x.Part, x.Key}]; ok {
			s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true})
		}
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"row_version": s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 || limit <= 0 {
		limit = 500
	}
	time.Sleep(answerTime)
	page, more, version := s.find(q, limit)
	body := map[string]any{"rows": page, "has_more": more, "row_version": version}
	size := 0
	for _, x := range page {
		size += len(x.Value)*4/3 + len(x.Key) + 80
	}
	s.travel(size)
	s.answer(w, http.StatusOK, body)
}

func (s *store) find(q url.Values, limit int) (rows []row, more bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	page, size := []row{}, 0
	for _, x := range found {
		if size += len(x.Value) + len(x.Key); len(page) == limit || size > 1<<20 {
			break
		}
		page = append(page, x)
	}
	return page, len(page) < len(found), s.version
}

func (s *store) parts(w http.ResponseWriter, _ *http.Request) {
	s.answer(w, http.StatusOK, map[string]any{"parts": []string{""}})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		rows := []row{}
		for _, c := range s.changes {
			if c.Version > after && c.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || !waiting {
			size := 0
			for _, x := range rows {
				size += len(x.Value)*4/3 + len(x.Key) + 80
			}
			s.noteFeed(size)
			s.travel(size)
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// noteFeed records the size of an answer of the feed.
func (s *store) noteFeed(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largestFeed = max(s.largestFeed, size)
}

// feedSize returns the size of the largest answer of the feed.
func (s *store) feedSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largestFeed
}
