package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// transactionTime is how long a transaction takes, and readTime how long a read
	// takes: txn_ms of the settings, and "4 ms an answer" of the sheets.
	transactionTime = 3 * time.Millisecond
	readTime        = 4 * time.Millisecond

	// historyTime is how long the store keeps its history (history_s).
	historyTime = 20 * time.Second

	// maxEntries and maxCallBytes bound a transaction, maxRows and maxPageBytes a page of
	// rows.
	maxEntries   = 100
	maxCallBytes = 1_000_000
	maxRows      = 500
	maxPageBytes = 1_000_000

	// maxRowBytes is the largest value of a row in base64 (row_bytes).
	maxRowBytes = 65536

	maxFeedWait = 30 * time.Second
)

type (
	// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
	store struct {
		mu      sync.Mutex
		began   time.Time
		rows    map[rowID]storedRow
		version uint64

		// history has all changes whose version is above trimmed.
		history []change
		trimmed uint64

		// changed is closed and replaced at each transaction.
		changed chan struct{}

		// commit makes transactions take their time one after another.
		commit sync.Mutex

		// lose, if it is set, says whether the answer to a transaction is lost, and how
		// much later the transaction is carried out.
		lose func(transaction) (time.Duration, bool)

		// scanned, if it is set, is called when the last page of a table has been read.
		scanned func(table string)
	}

	rowID struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	storedRow struct {
		rowID
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"row_version"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	change struct {
		row storedRow
		at  time.Time
	}

	transaction struct {
		Expect []struct {
			rowID
			Version uint64 `json:"row_version"`
		} `json:"expect"`
		Writes []struct {
			rowID
			Value []byte `json:"value"`
		} `json:"writes"`
		Remove []rowID `json:"remove"`
	}

	rowsReply struct {
		Rows    []storedRow `json:"rows"`
		More    bool        `json:"has_more"`
		Version uint64      `json:"row_version"`
		Now     int64       `json:"now_ms"`
	}
)

// newStore returns a store that serves on the address.
func newStore(address string) (*store, error) {
	s := &store{began: time.Now(), rows: make(map[rowID]storedRow), changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row on behalf of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storedRow{rowID: rowID{Table: table, Key: key}, Value: value, Version: s.version})
	s.publish()
}

// count returns the number of rows of a table and the bytes of their values.
func (s *store) count(table string) (rows, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.rows {
		if id.Table == table {
			rows++
			size += len(r.Value)
		}
	}
	return rows, size
}

// set applies a change. The caller holds the lock.
func (s *store) set(r storedRow) {
	if r.Deleted {
		delete(s.rows, r.rowID)
	} else {
		s.rows[r.rowID] = r
	}
	s.history = append(s.history, change{row: r, at: time.Now()})
}

// publish wakes the feeds and drops history that is too old. The caller holds the lock.
func (s *store) publish() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.trimmed = s.history[0].row.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || len(data) > maxCallBytes || json.Unmarshal(data, &t) != nil || !t.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if late, lost := lose(t); lost {
			time.AfterFunc(late, func() { s.apply(t) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if current, version, ok := s.apply(t); ok {
		s.answer(w, http.StatusOK, rowsReply{Rows: []storedRow{}, Version: version})
	} else {
		s.answer(w, http.StatusPreconditionFailed, rowsReply{Rows: current, Version: version})
	}
}

// valid reports whether the store can accept the transaction.
func (t transaction) valid() bool {
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > maxEntries {
		return false
	}
	for _, w := range t.Writes {
		if w.Table == "op" || w.Table == "servers" || (len(w.Value)+2)/3*4 > maxRowBytes {
			return false
		}
	}
	return true
}

// apply carries out a transaction. If an expectation does not hold it returns the current
// rows of all expectations, and false.
func (s *store) apply(t transaction) (current []storedRow, version uint64, ok bool) {
	s.commit.Lock()
	defer s.commit.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Expect {
		row, exists := s.rows[e.rowID]
		if exists {
			current = append(current, row)
		}
		ok = ok && row.Version == e.Version
	}
	if !ok {
		return current, s.version, false
	}
	s.version++
	for _, w := range t.Writes {
		s.set(storedRow{rowID: w.rowID, Value: w.Value, Version: s.version})
	}
	for _, id := range t.Remove {
		if _, exists := s.rows[id]; exists {
			s.set(storedRow{rowID: id, Version: s.version, Deleted: true})
		}
	}
	s.publish()
	return nil, s.version, true
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	var rows []storedRow
	for id, row := range s.rows {
		if id.Table == query.Get("table") && id.Part == query.Get("part") && id.Key >= query.Get("from") &&
			(!query.Has("target") || id.Key < query.Get("target")) {
			rows = append(rows, row)
		}
	}
	reply := rowsReply{Rows: []storedRow{}, Version: s.version}
	scanned := s.scanned
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storedRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	size := 0
	for _, row := range rows {
		if size += len(row.Value); len(reply.Rows) == limit || size > maxPageBytes && len(reply.Rows) > 0 {
			reply.More = true
			break
		}
		reply.Rows = append(reply.Rows, row)
	}
	s.answer(w, http.StatusOK, reply)
	if scanned != nil && limit == maxRows && !reply.More {
		scanned(query.Get("table"))
	}
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		reply, changed, err := s.changesAfter(query.Get("table"), after)
		if err != nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(reply.Rows) > 0 {
			s.answer(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed
// at the next change. It returns an error if the history no longer has all of them.
func (s *store) changesAfter(table string, after uint64) (rowsReply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.trimmed {
		return rowsReply{}, nil, errors.New("history dropped")
	}
	reply := rowsReply{Rows: []storedRow{}, Version: s.version}
	for _, c := range s.history {
		if c.row.Version > after && c.row.Table == table {
			reply.Rows = append(reply.Rows, c.row)
		}
	}
	return reply, s.changed, nil
}

func (s *store) answer(w http.ResponseWriter, status int, reply rowsReply) {
	reply.Now = time.Since(s.began).Milliseconds()
	answerJSON(w, status, reply)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
