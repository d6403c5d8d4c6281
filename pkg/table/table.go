// Package table defines the interfaces of the platform's table service and object
// store. The table holds versioned rows; it offers conditional transactions over
// several rows, reads by key, scans by prefix, and a feed of changes.
package table

import (
	"context"
	"fmt"
	"time"
)

const (
	// Absent is the version of a row that does not exist.
	Absent Version = 0

	// MaxRows is the largest number of rows that one scan returns.
	MaxRows = 1000
)

type (
	// Key identifies a row. Keys are ordered bytewise.
	Key string

	// Version numbers the transactions of the whole table. The version of a row is
	// that of the transaction that last wrote it.
	Version uint64

	// Row is a row at one version.
	Row struct {
		Key     Key     `json:"key"`
		Version Version `json:"version"`
		Value   []byte  `json:"value,omitempty"`
	}

	// Check is a condition of a transaction: the row must have the given version.
	// Absent requires that the row does not exist.
	Check struct {
		Key     Key     `json:"key"`
		Version Version `json:"version"`
	}

	// Write sets the value of a row, or deletes the row.
	Write struct {
		Key    Key    `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}

	// Txn is a transaction. Its writes are applied atomically if every check
	// holds; otherwise none is applied.
	Txn struct {
		Checks []Check `json:"checks,omitempty"`
		Writes []Write `json:"writes,omitempty"`
	}

	// Table is a client of the table service.
	Table interface {
		// Commit applies a transaction and returns its version. It returns a
		// ConflictError if a check failed, a RejectedError if the transaction
		// was not applied for another reason, and an UncertainError if it may
		// have been applied.
		Commit(ctx context.Context, txn Txn) (Version, error)

		// Read returns those rows of the given keys that exist.
		Read(ctx context.Context, keys []Key) ([]Row, error)

		// Scan returns up to limit rows, in key order, that have the prefix and
		// keys greater than after.
		Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	}

	// Objects is a client of the object store.
	Objects interface {
		// Put writes an object atomically. Objects are immutable: a name is never
		// written again with other data.
		Put(ctx context.Context, name string, data []byte) error

		// Get returns the data of an object. It returns a NotFoundError if there
		// is none.
		Get(ctx context.Context, name string) ([]byte, error)
	}

	// Change is one write or deletion of a row.
	Change struct {
		Row
		Deleted bool `json:"deleted,omitempty"`
	}

	// Feed is a client of the table's change feed.
	Feed interface {
		// Changes returns the changes after a version of rows with the prefix, in
		// order, and the version up to which they are complete. If there are none
		// it waits for one, for no longer than the duration wait. It returns a
		// HistoryError if the service no longer keeps all changes after that
		// version.
		Changes(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)

		// Newest returns the version of the newest transaction. Rows that are
		// read afterwards include all changes up to it.
		Newest(ctx context.Context) (Version, error)
	}

	// HistoryError says that the service no longer keeps all changes after a
	// version.
	HistoryError struct {
		After Version
	}

	// ConflictError says that a check failed and the transaction was not applied.
	// Want is the version that the check required, Have the row's version.
	ConflictError struct {
		Key  Key
		Want Version
		Have Version
	}

	// RejectedError says that the operation was not carried out. Invalid says that the
	// service can't accept it, however often it is tried: it breaks one of its limits.
	RejectedError struct {
		Reason  string
		Invalid bool
	}

	// UncertainError says that the operation may or may not have been carried
	// out.
	UncertainError struct {
		Reason string
	}

	// NotFoundError says that no object with the name exists.
	NotFoundError struct {
		Name string
	}
)

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s has version %d, want %d", e.Key, e.Have, e.Want)
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes after version %d are no longer kept", e.After)
}

func (e *RejectedError) Error() string {
	return "not carried out: " + e.Reason
}

func (e *UncertainError) Error() string {
	return "may have been carried out: " + e.Reason
}

func (e *NotFoundError) Error() string {
	return "object not found: " + e.Name
}
