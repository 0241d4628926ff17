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

// prefixBytes is how much of a prompt's start decides its affinity: requests that
// share an itinerary share at least this much.
const prefixBytes = 1024

// prompt is what a completion's body says of where it should go.
type prompt struct {
	// Prefix is a hash of the workspace and the prompt's start.
	Prefix uint64
	// Affinity is the session, or the prefix when there is none.
	Affinity string
}

// bodyFilter reads the body, and what a completion's body says of its model.
type bodyFilter struct {
	core *Server
}

// Apply refuses a body that is too large, too slow, or no completion.
func (f *bodyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	body, failure := c.BodyReader.Read(ctx)
	if failure != nil {
		return failure
	}
	c.Body = body
	if c.Service != "" {
		c.prompt.Affinity = c.Session
		return next(ctx, c)
	}
	if failure := readCompletion(c); failure != nil {
		return failure
	}
	if _, found := c.View.ModelRoutes(c.Model, c.Class); !found {
		return refuse(result.StepIdentify, result.UnknownModel)
	}
	return next(ctx, c)
}

// readCompletion takes the model, the session and the prompt's start from a
// completion's body. The version and the priority are the table's to set, so a
// body that sets them is refused rather than overruled in silence.
func readCompletion(c *Call) *result.Failure {
	fields, ok := readFields(c.Body)
	if !ok || fields.model == "" {
		// What is wrong isn't told in detail: it would quote the body.
		return refuse(result.StepIdentify, result.BadRequest)
	}
	c.Model = ident.Model(fields.model)
	if c.Session == "" {
		c.Session = fields.session
	}
	c.prompt = promptOf(c.Workspace, fields.prompt, c.Session)
	return nil
}

// completionFields are those that decide where a completion goes.
type completionFields struct {
	model, prompt, session string
}

// readFields reads the fields of a JSON object one by one. A name that decides where
// the request goes must come once and in lower case: an engine may take the first
// or the last of two, and "Model" for "model" or not, and would then run something
// else than what was routed.
func readFields(body []byte) (completionFields, bool) {
	var fields completionFields
	known := map[string]*string{"model": &fields.model, "prompt": &fields.prompt, "session": &fields.session}
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
		to, decides := known[name]
		if !decides && isReserved(name) {
			return fields, false
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fields, false
		}
		if !decides {
			continue
		}
		delete(known, name)
		if err := json.Unmarshal(value, to); err != nil {
			return fields, false
		}
	}
	if _, err := decoder.Token(); err != nil {
		return fields, false
	}
	_, err := decoder.Token()
	return fields, errors.Is(err, io.EOF)
}

// isReserved reports whether a name is, but for its case, one that decides where a
// completion goes or that the entry sets itself.
func isReserved(name string) bool {
	for _, reserved := range []string{"model", "prompt", "session", "version", "priority"} {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

func promptOf(w ident.Workspace, text, session string) prompt {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(w))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(text[:min(len(text), prefixBytes)])
	p := prompt{Prefix: d.Sum64(), Affinity: session}
	if p.Affinity == "" {
		p.Affinity = strconv.FormatUint(p.Prefix, 16)
	}
	return p
}

// completionBody puts the version and the priority in front of the caller's own
// fields: {"model":"m"} becomes {"version":"v2","priority":3,"model":"m"}.
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
