package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// prefixBytes is the length of the start of a prompt that determines its affinity. Requests
// that share an itinerary share at least this much of the prompt.
const prefixBytes = 1024

// routingHints holds the parts of a completion's body that the routing uses.
type routingHints struct {
	// PrefixHash is a hash of the workspace and the start of the prompt.
	PrefixHash uint64
	// Affinity is the session, or the prefix hash if there is none.
	Affinity string
}

// bodyFilter reads the body, and the model and routing hints from the body of a completion.
type bodyFilter struct {
	server *Server
}

// Apply refuses a body that is too large, too slow, or not a valid completion.
func (f *bodyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	body, failure := c.BodyReader.Read(ctx)
	if failure != nil {
		return failure
	}
	c.Body = body
	if c.Service != "" {
		c.hints.Affinity = c.Session
		return next(ctx, c)
	}
	if failure := readCompletion(c); failure != nil {
		return failure
	}
	if _, found := c.View.ModelRoutes(c.Model, c.Class); !found {
		return notRun(result.StepIdentify, result.UnknownModel)
	}
	return next(ctx, c)
}

// readCompletion reads the model, the session and the start of the prompt from the body of
// a completion. The table sets the version and the priority, so a body that sets them is
// refused; silently replacing them would hide the caller's mistake.
func readCompletion(c *Call) *result.Failure {
	fields, ok := readFields(c.Body)
	if !ok || fields.model == "" {
		// The failure holds no details, since they would quote the body.
		return notRun(result.StepIdentify, result.BadRequest)
	}
	c.Model = ident.Model(fields.model)
	if c.Session == "" {
		c.Session = fields.session
	}
	c.hints = newRoutingHints(c.Workspace, fields.prompt, c.Session)
	return nil
}

// completionFields holds the fields that the routing of a completion depends on.
type completionFields struct {
	model, prompt, session string
}

// readFields reads the fields of a JSON object one by one. A field that the routing depends
// on must occur once and in lower case: an engine may take the first or the last of two,
// and may or may not read "Model" as "model", and would then run another model than the one
// that was routed.
func readFields(body []byte) (completionFields, bool) {
	var fields completionFields
	remaining := map[string]*string{"model": &fields.model, "prompt": &fields.prompt, "session": &fields.session}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return fields, false
	}
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		if err != nil || !isName {
			return fields, false
		}
		field, isRoutingField := remaining[name]
		if !isRoutingField && isReserved(name) {
			return fields, false
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fields, false
		}
		if !isRoutingField {
			continue
		}
		delete(remaining, name)
		if err := json.Unmarshal(value, field); err != nil {
			return fields, false
		}
	}
	if _, err := decoder.Token(); err != nil {
		return fields, false
	}
	_, err := decoder.Token()
	return fields, errors.Is(err, io.EOF)
}

// isReserved reports whether a name equals, ignoring case, a field that the routing depends
// on or that the server sets itself.
func isReserved(name string) bool {
	for _, reserved := range []string{"model", "prompt", "session", "version", "priority"} {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

func newRoutingHints(w ident.Workspace, text, session string) routingHints {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(w))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(text[:min(len(text), prefixBytes)])
	p := routingHints{PrefixHash: d.Sum64(), Affinity: session}
	if p.Affinity == "" {
		p.Affinity = strconv.FormatUint(p.PrefixHash, 16)
	}
	return p
}

// completionBody inserts the version and the priority before the fields of the caller:
// {"model":"m"} becomes {"version":"v2","priority":3,"model":"m"}.
func completionBody(body []byte, version ident.Version, priority int) []byte {
	rest := bytes.TrimLeft(body, " \t\r\n")[1:]
	out := make([]byte, 0, len(body)+len(version)+48)
	out = append(out, `{"version":"`...)
	out = append(out, version...)
	out = append(out, `","priority":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	out = append(out, ',')
	return append(out, rest...)
}
