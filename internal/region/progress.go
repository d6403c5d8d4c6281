package region

import "github.com/fxamacker/cbor/v2"

const (
	// maxListedOccurrences is the number of opened occurrences up to which Progress is
	// stored as a list of all of them. This is the only form that earlier releases read.
	// They start nothing of a job whose record they can't read.
	maxListedOccurrences = 64

	// cborMajorType masks the type of a CBOR item in its first byte, and cborArray is
	// that of an array.
	cborMajorType = 0xe0
	cborArray     = 0x80
)

// progressMap is the stored form of Progress with more occurrences than are listed.
type progressMap Progress

// MarshalCBOR encodes the progress as a list of all opened occurrences if there are few
// and it has no further rows, or else as a map with the open ones.
func (p Progress) MarshalCBOR() ([]byte, error) {
	if p.Opened > maxListedOccurrences || p.Parts > 0 {
		return cbor.Marshal(progressMap(p))
	}
	list := make([]OccurrenceRecord, p.Opened)
	for n := range list {
		record, open := p.Open[n]
		record.Complete = !open
		list[n] = record
	}
	return cbor.Marshal(list)
}

// UnmarshalCBOR decodes either form.
func (p *Progress) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 || data[0]&cborMajorType != cborArray {
		return cbor.Unmarshal(data, (*progressMap)(p))
	}
	var list []OccurrenceRecord
	if err := cbor.Unmarshal(data, &list); err != nil {
		return err
	}
	*p = Progress{Opened: len(list), Open: make(map[int]OccurrenceRecord)}
	for n, record := range list {
		if !record.Complete {
			p.Open[n] = record
		}
	}
	return nil
}
