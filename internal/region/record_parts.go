package region

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultRowBytes is the size of the value of a row in bytes up to which a record is
	// stored in one row, if no other size is set.
	DefaultRowBytes = 48 << 10

	// maxRecordBytes is the size of a record in bytes above which it is stored without the
	// checkpoints of its tasks, so that it fits into a transaction. The tasks begin anew
	// under the next leader then, unless their runners report their checkpoints.
	maxRecordBytes = 400 << 10

	// partSeparator is between the job and the number of the part in the key of a row with
	// a part of a record.
	partSeparator = "/"
)

// WithRowBytes sets the size of the value of a row in bytes up to which a record is stored
// in one row.
func WithRowBytes(size int) Option {
	return func(c *Config) { c.RowBytes = size }
}

// encodedRecord is a record as it is stored: in one row, or in one that says how many
// further rows hold its progress.
type encodedRecord struct {
	value []byte
	parts [][]byte
}

// encodeRecord encodes the job's record for rows of at most rowBytes.
func (j *job) encodeRecord(rowBytes int) (encodedRecord, error) {
	r := j.record()
	value, err := cbor.Marshal(r)
	if len(value) > maxRecordBytes {
		r.dropCheckpoints()
		value, err = cbor.Marshal(r)
	}
	if err != nil || len(value) <= rowBytes {
		return encodedRecord{value: value}, err
	}
	progress, err := cbor.Marshal(progressMap(r.Progress))
	if err != nil {
		return encodedRecord{}, err
	}
	parts := slices.Collect(slices.Chunk(progress, rowBytes))
	value, err = cbor.Marshal(Record{State: r.State, Progress: Progress{Parts: len(parts)}})
	return encodedRecord{value: value, parts: parts}, err
}

// dropCheckpoints removes all checkpoints.
func (r Record) dropCheckpoints() {
	for _, o := range r.Progress.Open {
		for _, s := range o.Steps {
			for i, t := range s.Tasks {
				t.Checkpoint = ""
				if s.Tasks[i] = t; len(t.Failed) == 0 {
					delete(s.Tasks, i)
				}
			}
		}
	}
}

// size returns the number of bytes in all rows.
func (e encodedRecord) size() int {
	n := len(e.value)
	for _, part := range e.parts {
		n += len(part)
	}
	return n
}

// writes returns the writes that store the record and delete the rows of the parts that an
// earlier one may have had beyond those.
func (e encodedRecord) writes(j *job) []table.Write {
	writes := []table.Write{{Key: j.row.key, Value: e.value}}
	for n, part := range e.parts {
		writes = append(writes, table.Write{Key: partKey(j.row.key, n), Value: part})
	}
	for n := len(e.parts); n < j.parts; n++ {
		writes = append(writes, table.Write{Key: partKey(j.row.key, n), Delete: true})
	}
	return writes
}

func partKey(record table.Key, n int) table.Key {
	return record + partSeparator + table.Key(strconv.Itoa(n))
}

// splitParts separates the rows of records from those with parts of them.
func splitParts(rows []table.Row) (records []table.Row, parts map[table.Key][]byte) {
	parts = make(map[table.Key][]byte)
	for _, row := range rows {
		if strings.Contains(string(row.Key[len(RecordPrefix):]), partSeparator) {
			parts[row.Key] = row.Value
		} else {
			records = append(records, row)
		}
	}
	return records, parts
}

// decodeRecord decodes a record, which may have parts.
func decodeRecord(row table.Row, parts map[table.Key][]byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(row.Value, &r); err != nil || r.Progress.Parts == 0 {
		return r, err
	}
	var progress bytes.Buffer
	count := r.Progress.Parts
	for n := range count {
		part, ok := parts[partKey(row.Key, n)]
		if !ok {
			return r, fmt.Errorf("part %d of %d is missing", n, count)
		}
		progress.Write(part)
	}
	err := cbor.Unmarshal(progress.Bytes(), (*progressMap)(&r.Progress))
	r.Progress.Parts = count
	return r, err
}
