package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/subcommands"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/config"
)

// published is the manifest on the fake platform, and conflicting is another manifest with
// the same revision.
var (
	published   = table.NewManifest(6, "anna", "", nil)
	conflicting = table.NewManifest(6, "bert", "", nil)
)

// TestCommands runs command lines against a fake platform and fake instances on loopback.
// Each result is the exit code and the text on stdout. Text on stderr is not checked.
func TestCommands(t *testing.T) {
	file, _ := filepath.Abs("testdata/commands")
	examples, _ := filepath.Abs("../../examples")
	t.Chdir(t.TempDir())
	if err := os.CopyFS(".", os.DirFS(examples)); err != nil {
		t.Fatal(err)
	}
	env := &testEnv{t: t, values: map[string]string{}, addresses: map[string]string{}}
	env.start("PLATFORM", env.servePlatform)
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			out.WriteString(env.execute(strings.TrimSpace(line)))
		}
		return out.String()
	})
}

// execute runs one command, or changes the state of the fakes.
func (env *testEnv) execute(line string) string {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "listed":
		env.publishInstances(rest)
	case "directory":
		env.directory = strings.Fields(rest)
	case "edit":
		name, change, _ := strings.Cut(rest, " ")
		from, to, _ := strings.Cut(change, " => ")
		text, _ := os.ReadFile(name)
		if err := os.WriteFile(name, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600); err != nil {
			env.t.Fatal(err)
		}
	case "rebuild":
		rebuild(env.t)
	default:
		return env.run(verb, strings.Fields(rest))
	}
	return ""
}

// rebuild builds a table from the values that "pages" wrote.
func rebuild(t *testing.T) {
	data, err := os.ReadFile(filepath.FromSlash("values/" + string(fetch.ManifestKey)))
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := table.ParseManifest(data)
	if err != nil || manifest.Version().Revision != 7 {
		t.Fatalf("revision %s: %v", manifest.Version(), err)
	}
	pages := map[table.Digest][]byte{}
	files, _ := filepath.Glob("values/table/page/*")
	for _, file := range files {
		pages[table.Digest(filepath.Base(file))], _ = os.ReadFile(file)
	}
	built, err := table.Build(manifest, pages)
	if err != nil {
		t.Fatal(err)
	}
	if sheets, err := config.ReadTable("table"); err != nil || len(sheets.Workspaces()) != len(built.Workspaces()) {
		t.Fatal("the pages hold another table", err)
	}
}

// testEnv holds the fake platform and instances that commands connect to.
type testEnv struct {
	t         *testing.T
	values    map[string]string
	directory []string
	// addresses holds the addresses of the fakes, by their names in the test cases.
	addresses map[string]string
}

func (env *testEnv) start(name string, handler http.HandlerFunc) {
	if env.addresses[name] != "" {
		return
	}
	server := httptest.NewServer(handler)
	env.t.Cleanup(server.Close)
	env.addresses[name] = server.Listener.Addr().String()
}

func (env *testEnv) servePlatform(out http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/directory" {
		addresses := []string{}
		for _, name := range env.directory {
			addresses = append(addresses, env.addresses[name])
		}
		_ = json.NewEncoder(out).Encode(addresses)
		return
	}
	value, found := env.values[strings.TrimPrefix(q.URL.Path, "/v1/values/")]
	switch {
	case value == "limited":
		out.WriteHeader(http.StatusTooManyRequests)
	case !found:
		out.WriteHeader(http.StatusNotFound)
	default:
		out.Header().Set("Revision", "3")
		_, _ = io.WriteString(out, value)
	}
}

// publishInstances puts a manifest and a list of instances on the platform. Each instance
// is named after its state.
func (env *testEnv) publishInstances(text string) {
	env.values = map[string]string{string(fetch.ManifestKey): string(published.Encode())}
	var rows []string
	for _, id := range strings.Fields(text) {
		if id == "limited" {
			env.values[string(fetch.ManifestKey)] = id
			continue
		}
		env.start(id, func(out http.ResponseWriter, q *http.Request) { serveInstance(out, q, id) })
		address := env.addresses[id]
		if id == "silent" {
			address = "127.0.0.1:1"
		}
		rows = append(rows, fmt.Sprintf(`{"id":%q,"zone":"z","region":"west","peer":%q,"caller":%q,"admin":%q,"state":"live"}`, id, address, address, address))
	}
	env.values[string(fetch.EntriesKey)] = "[" + strings.Join(rows, ",") + "]"
}

// serveInstance responds as an instance in the state that its name gives.
func serveInstance(out http.ResponseWriter, q *http.Request, id string) {
	s := admin.Status{Instance: ident.Instance(id), Incarnation: id + "~1", Version: admin.Version, Region: "west", Phase: "ready",
		TableRevision: 7, TableDigest: string(published.Version().Digest), InFlight: 2}
	switch id {
	case "behind":
		s.TableRevision = 6
	case "ahead":
		s.TableRevision = 8
	case "conflicting":
		s.TableDigest = string(conflicting.Version().Digest)
	case "refusing":
		s.TableRevision, s.Rejected, s.RejectionReason = 6, 7, "pools.csv:3: slots: empty"
	case "namesake":
		s.Instance = "another"
	case "draining":
		s.Phase = "draining"
	}
	switch q.URL.Path {
	case "/v1/status":
		_ = json.NewEncoder(out).Encode(s)
	case "/v1/drain":
		out.WriteHeader(http.StatusAccepted)
		_, _ = fmt.Fprintf(out, `{"instance":%q,"draining":%t}`, id, q.Method == http.MethodPost)
	case "/v1/entry":
		if q.URL.Query().Get("workspace") != "anna" || id == "behind" {
			out.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = fmt.Fprintf(out, `{"workspace":"anna","table-revision":7,"key-prefix":"%s~1.0.","entries":[
			{"instance":%q,"incarnation":"%s~1","address":"127.0.0.1:7101","zone":"west-1","region":"west"}]}`, id, id, id)
	}
}

// run executes one command line, in which the names of fakes are replaced by their
// addresses.
func (env *testEnv) run(name string, words []string) string {
	var out bytes.Buffer
	commands := map[string]subcommands.Command{
		"check": &checkCommand{out: &out}, "pages": &pagesCommand{out: &out}, "entry": &entryCommand{out: &out},
		"status": &statusCommand{out: &out}, "drain": &drainCommand{out: &out}, "run": &runCommand{},
	}
	for i, word := range words {
		if address := env.addresses[word]; address != "" {
			words[i] = address
		}
	}
	c := commands[name]
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.SetFlags(f)
	if f.Parse(words) != nil {
		return "flags not read\n"
	}
	code := c.Execute(context.Background(), f)
	var compact bytes.Buffer
	text := strings.ReplaceAll(strings.TrimSpace(out.String()), "\t", " | ")
	if json.Compact(&compact, out.Bytes()) == nil {
		text = compact.String()
	}
	text = regexp.MustCompile(`[0-9a-f]{32}`).ReplaceAllString(regexp.MustCompile(` +`).ReplaceAllString(text, " "), "DIGEST")
	return strings.TrimSpace(fmt.Sprintf("exit %d %s", code, text)) + "\n"
}
