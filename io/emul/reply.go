package emul

import (
	"encoding/json"
	"net/http"
)

// maxControlBytes is the maximum size of the body of a request to a control path,
// such as /v1/faults.
const maxControlBytes = 1 << 20

// WriteJSON writes a response with the status and the value as one JSON document.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// ReadJSON decodes the body into the value and rejects unknown fields. On failure it
// responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
