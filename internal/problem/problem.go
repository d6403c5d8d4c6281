// Package problem writes refusals over HTTP in the form of RFC 9457.
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of a refusal.
const ContentType = "application/problem+json"

// Details are the members that every refusal has. Field names the part of the
// request that is wrong.
type Details struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"`
}

// Complete fills in the type and the title that the status implies.
func (d *Details) Complete() {
	d.Type = "about:blank"
	d.Title = http.StatusText(d.Status)
}

// Write writes a refusal with its status. The body embeds Details.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
