// Package table describes the platform's transactional table service: versioned
// rows, conditional transactions over several rows, and scans by prefix.
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
	// Key names a row. Keys are ordered by their bytes.
	Key string

	// Version counts the writes to the whole table. A row carries the version
	// of the transaction that wrote it last.
	Version uint64

	// Row is one row at one version.
	Row struct {
		Key     Key     `json:"key"`
		Version Version `json:"version"`
		Value   []byte  `json:"value,omitempty"`
	}

	// Check requires that a row has a given version. Absent requires that the
	// row does not exist.
	Check struct {
		Key     Key     `json:"key"`
		Version Version `json:"version"`
	}

	// Write sets a row, or deletes it.
	Write struct {
		Key    Key    `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}

	// Txn is applied whole if every check holds, and else not at all.
	Txn struct {
		Checks []Check `json:"checks,omitempty"`
		Writes []Write `json:"writes,omitempty"`
	}

	// Table is the table service.
	Table interface {
		// Commit applies a transaction and returns its version. It returns a
		// ConflictError if a check failed, a RejectedError if the transaction
		// was certainly not applied, and an UncertainError if it may have been.
		Commit(ctx context.Context, txn Txn) (Version, error)

		// Read returns the rows that exist among the given keys.
		Read(ctx context.Context, keys []Key) ([]Row, error)

		// Scan returns up to limit rows with the prefix and after the key after.
		Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	}

	// Objects is the object store.
	Objects interface {
		// Put writes an object whole. Names are never written with other data.
		Put(ctx context.Context, name string, data []byte) error

		// Get returns an object. It returns a NotFoundError if there is none.
		Get(ctx context.Context, name string) ([]byte, error)
	}

	// Change is a row that was written or deleted.
	Change struct {
		Row
		Deleted bool `json:"deleted,omitempty"`
	}

	// Feed tells what has changed in the table.
	Feed interface {
		// Changes returns the changes of rows with the prefix after a version, in
		// their order, and the version up to which they are complete. It waits for
		// a change for up to wait. It returns a HistoryError if the service has
		// dropped changes after that version.
		Changes(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)

		// Newest returns the version of the newest transaction. Rows that are
		// read afterwards hold all changes up to it.
		Newest(ctx context.Context) (Version, error)
	}

	// HistoryError says that changes after a version are not kept any more.
	HistoryError struct {
		After Version
	}

	// ConflictError says that a check of a transaction failed and that nothing
	// was written.
	ConflictError struct {
		Key  Key
		Want Version
		Have Version
	}

	// RejectedError says that the service did not carry out the operation.
	RejectedError struct {
		Reason string
	}

	// UncertainError says that the operation may or may not have been carried
	// out.
	UncertainError struct {
		Reason string
	}

	// NotFoundError says that there is no object of the name.
	NotFoundError struct {
		Name string
	}
)

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s has version %d, not %d", e.Key, e.Have, e.Want)
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes after version %d are not kept", e.After)
}

func (e *RejectedError) Error() string {
	return "not carried out: " + e.Reason
}

func (e *UncertainError) Error() string {
	return "may have been carried out: " + e.Reason
}

func (e *NotFoundError) Error() string {
	return "no object " + e.Name
}
