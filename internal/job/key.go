package job

import (
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// LiveKey returns the key of the record of a job that has not ended.
func LiveKey(region floor.RegionID, id ID) table.Key {
	return table.Key("live/" + string(region) + "/" + string(id))
}

// EndedKey returns the key of the record of a job that has ended.
func EndedKey(region floor.RegionID, id ID) table.Key {
	return table.Key("done/" + string(region) + "/" + string(id))
}
