// Package problem writes HTTP error responses in the format of RFC 9457 (problem
// details).
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of an error response.
const ContentType = "application/problem+json"

// Details are the members that all error responses share. Field names the invalid
// part of the request, if there is one.
type Details struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Field  string `json:"field,omitempty"`
}

// Complete sets the type and the title from the status.
func (d *Details) Complete() {
	d.Type = "about:blank"
	d.Title = http.StatusText(d.Status)
}

// Write writes an error response with a status. The body embeds Details.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
