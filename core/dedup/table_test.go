package dedup_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// fixture holds the records of an owner "a" and its possible successors "b" and "c".
type fixture struct {
	now     time.Time
	records map[string]*dedup.Records
	chunks  []dedup.Chunk
}

func incarnation(name string) ident.Incarnation {
	return ident.Incarnation{Instance: ident.Instance(name), Start: 1}
}

// key parses a text such as "a/0.x" into owner, epoch and unique part.
func key(text string) dedup.Key {
	var parsed dedup.Key
	owner, rest, _ := strings.Cut(text, "/")
	_, _ = fmt.Sscanf(rest, "%d.%s", &parsed.Epoch, &parsed.Unique)
	parsed.Owner = incarnation(owner)
	return parsed
}

// execute runs one operation, such as "a begin a/0.x body", and returns its output.
func (f *fixture) execute(op string) string {
	fields := append(strings.Fields(op), "", "", "")
	if fields[0] == "pass" {
		step, _ := time.ParseDuration(fields[1])
		f.now = f.now.Add(step)
		return ""
	}
	r := f.records[fields[0]]
	allowed := func(w ident.Workspace) bool { return fields[2] != "near-only" || w == "near" }
	switch fields[1] {
	case "begin":
		workspace := ident.Workspace("near")
		if strings.HasPrefix(fields[3], "far") {
			workspace = "far"
		}
		return describe(r.Begin(f.now, dedup.Call{Key: key(fields[2]), Workspace: workspace, Fingerprint: dedup.FingerprintOf(workspace, "POST", "/", []byte(fields[3]))}))
	case "end":
		r.End(f.now, key(fields[2]), dedup.Answer{Outcome: result.ParseOutcome(fields[3]), Step: result.StepAttempt, Reason: result.IdleTimeout, Body: []byte(fields[4])})
	case "fill":
		for i := range 600 {
			r.Begin(f.now, dedup.Call{Key: key(fmt.Sprint(fields[2], i)), Workspace: "near"})
		}
	case "retention":
		retention, _ := time.ParseDuration(fields[2])
		r.SetRetention(f.now, retention)
	case "strip":
		r.DropDisallowedAnswers(allowed)
	case "export":
		f.chunks = r.Export(f.now, allowed)
		return fmt.Sprint(len(f.chunks))
	case "import": // "b import" imports all chunks twice in reverse order, "b import 1" only chunk 1
		for i := range 2 * len(f.chunks) {
			at := (2*len(f.chunks) - 1 - i) / 2
			if fields[2] != "" && fields[2] != fmt.Sprint(at) {
				continue
			}
			if err := r.Import(f.now, f.chunks[at]); err != nil {
				return "failed"
			}
		}
		return fmt.Sprint(r.ImportComplete(incarnation("a")))
	case "usage":
		return fmt.Sprintf("%+v", r.Usage())
	}
	return ""
}

func describe(d dedup.Decision) string {
	switch d := d.(type) {
	case dedup.Replay:
		return fmt.Sprintf("replay(%s %s)", d.Answer.Outcome, d.Answer.Body)
	case dedup.Refuse:
		after := ""
		if d.Failure.RetryAfter > 0 {
			after = " after " + d.Failure.RetryAfter.String()
		}
		if dedup.NeedsNewKey(d.Failure) {
			after += " with new key"
		}
		return fmt.Sprintf("%s(%s%s)", d.Failure.Reason, d.Failure.Outcome, after)
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", d), "dedup."))
	}
}

func TestRecords(t *testing.T) {
	datadriven.RunTest(t, "testdata/records", func(t *testing.T, d *datadriven.TestData) string {
		f := &fixture{now: time.Unix(0, 0), records: map[string]*dedup.Records{}}
		limits := dedup.Limits{EpochLength: time.Minute, Retention: 3 * time.Minute, MaxAnswerBytes: 8, MaxRecords: 2000}
		d.MaybeScanArgs(t, "records", &limits.MaxRecords)
		for _, name := range []string{"a", "b", "c"} {
			f.records[name] = dedup.NewRecords(incarnation(name), f.now, limits)
		}
		var out []string
		for op := range strings.SplitSeq(strings.ReplaceAll(d.Input, "\n", ";"), ";") {
			if text := f.execute(op); text != "" {
				out = append(out, text)
			}
		}
		return strings.Join(out, "; ")
	})
}

func TestResolve(t *testing.T) {
	datadriven.RunTest(t, "testdata/resolve", func(t *testing.T, d *datadriven.TestData) string {
		var out []string
		for line := range strings.SplitSeq(d.Input, "\n") { // "members a=1 b=2: notes a>b"
			membersText, notesText, _ := strings.Cut(line, ":")
			var notes dedup.SuccessorNotes
			for note := range strings.FieldsSeq(notesText) {
				old, successor, _ := strings.Cut(note, ">")
				notes.Add(time.Unix(0, 0), dedup.SuccessorNote{Stopped: incarnation(old), Successor: incarnation(successor), Expires: time.Unix(60, 0)})
			}
			lookup := func(name ident.Instance) (ident.Incarnation, bool) {
				_, after, found := strings.Cut(membersText, string(name)+"=")
				switch {
				case !found:
					return ident.Incarnation{}, false
				case after[0] == '?':
					return ident.Incarnation{}, true
				}
				return ident.Incarnation{Instance: name, Start: uint64(after[0] - '0')}, true
			}
			r := dedup.Resolver{Self: incarnation("s"), LookupMember: lookup, Notes: &notes}
			for _, asked := range []bool{false, true} {
				switch to := r.Resolve(time.Unix(int64(len(d.CmdArgs))*60, 0), key("a/0.x"), asked).(type) {
				case dedup.Forward:
					out = append(out, "forward "+string(to.Incarnation.Instance))
				case dedup.Gone:
					out = append(out, to.Failure.Error())
				default:
					out = append(out, strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", to), "dedup.")))
				}
			}
		}
		return strings.Join(out, "; ")
	})
}
