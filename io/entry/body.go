package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

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
	core *Core
}

// Apply refuses a body that is too large, too slow, or no completion.
func (f *bodyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	body, failure := c.Source.Read(ctx)
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
	if _, found := c.View.Model(c.Model, c.Class); !found {
		return refuse(result.StepIdentify, result.UnknownModel)
	}
	return next(ctx, c)
}

// readCompletion takes the model, the session and the prompt's start from a
// completion's body. The version and the priority are the table's to set, so a
// body that sets them is refused rather than overruled in silence.
func readCompletion(c *Call) *result.Failure {
	var completion struct {
		Model    ident.Model     `json:"model"`
		Prompt   string          `json:"prompt"`
		Session  string          `json:"session"`
		Version  json.RawMessage `json:"version"`
		Priority json.RawMessage `json:"priority"`
	}
	if err := json.Unmarshal(c.Body, &completion); err != nil {
		// The error may quote the body, which must not reach a log.
		return refuse(result.StepIdentify, result.BadRequest)
	}
	if completion.Model == "" || completion.Version != nil || completion.Priority != nil {
		return refuse(result.StepIdentify, result.BadRequest)
	}
	c.Model = completion.Model
	if c.Session == "" {
		c.Session = completion.Session
	}
	c.prompt = promptOf(c.Workspace, completion.Prompt, c.Session)
	return nil
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
