package entry

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/intake"
	"arbutustrestle/io/strict"
)

// requestIDBytes is the length of a request ID before hexadecimal encoding.
const requestIDBytes = 16

// Handler returns the HTTP handler for callers. Its server must have the hook
// ending.ConnContext, and the listener and hooks of package strict, or each body in chunks ends its
// connection, and those of package intake, or bodies that have stopped keep their memory.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	// Path cleaning would redirect a call to another path than the one that the caller
	// sent. The table decides which paths are calls.
	r.SkipClean(true)
	r.UseEncodedPath()
	r.Path("/v1/entry").Methods(http.MethodGet).HandlerFunc(s.handleAdvice)
	r.Path("/v1/completions").Methods(http.MethodPost).HandlerFunc(s.handleCompletion)
	r.PathPrefix("/v1/services/{service}/").HandlerFunc(s.handleService)
	r.NotFoundHandler = http.HandlerFunc(s.handleUnknown)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.handleUnknown)
	return r
}

func (s *Server) handleUnknown(w http.ResponseWriter, r *http.Request) {
	sink := s.newSink(w, r)
	f := notRun(result.StepIdentify, result.BadRequest)
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		f.Reason = result.UnknownCall
	}
	s.Metrics.CountRequest(f)
	sink.fail(f, refusalDetail{})
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	call, sink, failure := s.identify(w, r)
	defer call.memory.Release()
	if failure == nil {
		failure = identifyClass(call, r)
	}
	call.Path = "/v1/completions"
	s.serveHTTP(r, call, sink, failure)
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	call, sink, failure := s.identify(w, r)
	defer call.memory.Release()
	call.Class = table.ServiceCall
	name := mux.Vars(r)["service"]
	call.Service = ident.Service(name)
	call.Key = r.Header.Get(headerKey)
	call.Path = strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	if failure == nil && !ident.ValidName(name) {
		failure = notRun(result.StepIdentify, result.BadRequest)
	}
	s.serveHTTP(r, call, sink, failure)
}

// serveHTTP runs a caller's request through the filters and ends its response.
func (s *Server) serveHTTP(r *http.Request, call *Call, sink *httpSink, failure *result.Failure) {
	if failure == nil {
		failure = s.Serve(r.Context(), call)
	} else {
		s.Metrics.CountRequest(failure)
	}
	if failure == nil {
		if err := sink.finish(); err != nil {
			s.Log.Warn().Err(err).Str("request-id", call.ID).Msg("a whole answer ends with a reset of its connection")
		}
		return
	}
	sink.fail(failure, s.detail(call, failure))
}

// detail returns the data that helps the caller of a refused request to retry correctly.
func (s *Server) detail(call *Call, f *result.Failure) refusalDetail {
	switch f.Reason {
	case result.KeyRequired, result.KeyExpired:
		return refusalDetail{KeyPrefix: s.Records.KeyPrefix()}
	case result.PlaceForbidden, result.Draining, result.NotReady:
		return refusalDetail{Entries: s.advise(call.View, call.Workspace)}
	default:
		return refusalDetail{}
	}
}

func (s *Server) newSink(w http.ResponseWriter, r *http.Request) *httpSink {
	view := s.Views.View()
	sink := &httpSink{
		writer:       w,
		request:      r,
		controller:   http.NewResponseController(w),
		clock:        s.Clock,
		requestID:    s.newRequestID(),
		writeTimeout: s.Limits.WriteTimeout,
		draining:     s.draining,
	}
	if view.Table != nil {
		sink.revision = view.Table.Version().Revision
	}
	return sink
}

func (s *Server) newRequestID() string {
	var id [requestIDBytes]byte
	for i := 0; i < requestIDBytes; i += 8 {
		number := s.Random.Uint64()
		for k := range 8 {
			id[i+k] = byte(number >> (8 * k))
		}
	}
	return hex.EncodeToString(id[:])
}

func validRequestID(id string) bool {
	raw, err := hex.DecodeString(id)
	return err == nil && len(raw) == requestIDBytes
}

// identify reads the headers that all requests have in common.
func (s *Server) identify(w http.ResponseWriter, r *http.Request) (*Call, *httpSink, *result.Failure) {
	sink := s.newSink(w, r)
	call := &Call{
		ID:        sink.requestID,
		Workspace: ident.Workspace(r.Header.Get(headerWorkspace)),
		Session:   r.Header.Get(headerSession),
		Method:    r.Method,
		Header:    r.Header,
		View:      s.Views.View(),
		Sink:      sink,
	}
	call.memory = s.Memory.NewShare()
	body := &httpBodyReader{request: r, sink: sink, limit: int64(s.Limits.BodyBytes), timeout: s.Limits.BodyTimeout, memory: call.memory}
	if r.ContentLength != 0 {
		body.reading = intake.StartBody(r, call.memory)
	}
	call.BodyReader = body
	switch strict.Check(r) {
	case strict.Clear:
	case strict.Unknown:
		w.Header().Set("Connection", "close")
	case strict.Ambiguous:
		return call, sink, notRun(result.StepIdentify, result.BadRequest)
	}
	if r.ContentLength > int64(s.Limits.BodyBytes) {
		return call, sink, notRun(result.StepIdentify, result.BodyTooLarge)
	}
	if !ident.ValidName(string(call.Workspace)) || len(call.Session) > maxSessionLength {
		return call, sink, notRun(result.StepIdentify, result.BadRequest)
	}
	timeout, ok := parseTimeout(r.Header.Get(headerTimeout))
	if !ok {
		return call, sink, notRun(result.StepIdentify, result.BadRequest)
	}
	if timeout > 0 {
		call.Deadline = s.Clock.Now().Add(timeout)
	}
	return call, sink, nil
}

// maxSessionLength bounds the length of a session name, in bytes.
const maxSessionLength = 256

// parseTimeout parses a duration such as "30s" or "1500ms". An empty text gives zero.
func parseTimeout(text string) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	timeout, err := time.ParseDuration(text)
	return timeout, err == nil && timeout > 0
}

// identifyClass reads the class of a completion. The default is a plan.
func identifyClass(call *Call, r *http.Request) *result.Failure {
	call.Class = table.Plan
	text := r.Header.Get(headerClass)
	if text == "" {
		return nil
	}
	class, known := table.ParseClass(text)
	if !known || class == table.AnyClass || class == table.ServiceCall {
		return notRun(result.StepIdentify, result.BadRequest)
	}
	call.Class = class
	return nil
}

// httpBodyReader reads the body of a caller's request.
type httpBodyReader struct {
	request *http.Request
	sink    *httpSink
	limit   int64
	timeout time.Duration
	// memory is what the body takes, and reading the connection while it is read.
	memory  *memory.Share
	reading *intake.Body
}

const (
	// memoryRetryAfter is the Retry-After value while the memory for requests is used up: the time
	// that a body takes to arrive.
	memoryRetryAfter = time.Second
	// initialBodyBytes is the first size of the buffer of a body.
	initialBodyBytes = 4 << 10
)

// errNoMemory means that there is no memory for a body, or that it has been given to others.
var errNoMemory = errors.New("no memory for the body")

// Read returns the whole body, within the limits of size, time and memory.
func (s *httpBodyReader) Read(context.Context) ([]byte, *result.Failure) {
	_ = s.sink.controller.SetReadDeadline(time.Now().Add(s.timeout))
	body, err := s.readAll(http.MaxBytesReader(s.sink.writer, s.request.Body, s.limit))
	// Trailers aren't passed on.
	s.request.Trailer = nil
	if s.reading.GaveWay() || (err == nil && !s.reading.End()) {
		err = errNoMemory
	}
	if err == nil {
		// A read deadline that is still set would end net/http's background read, which
		// detects that the caller has closed the connection.
		_ = s.sink.controller.SetReadDeadline(time.Time{})
		s.sink.bodyRead = true
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	f := notRun(result.StepIdentify, result.BadRequest)
	switch {
	case errors.Is(err, errNoMemory):
		f.Reason = result.Overloaded
		f.RetryAfter = memoryRetryAfter
	case errors.As(err, &tooLarge):
		f.Reason = result.BodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Reason = result.BodyTooSlow
	case s.request.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		f.Reason = result.CallerGone
	}
	return nil, f
}

// readAll reads a body into a buffer that grows as the body arrives, since callers may announce a large
// body and send nothing. The buffers that were copied to a larger one count until the body is read: all of
// them together are about twice as large as the last of them.
func (s *httpBodyReader) readAll(r io.Reader) ([]byte, error) {
	if s.request.ContentLength == 0 {
		return nil, nil
	}
	most := s.limit + 1
	if s.request.ContentLength >= 0 {
		most = min(most, s.request.ContentLength+1)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int(min(int64(max(2*cap(body), initialBodyBytes)), most))
			if !s.memory.Grow(int64(2*cap(body) + size)) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		// The last byte of the buffer is for the read that brings the end, or shows that there is more.
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *Server) handleAdvice(w http.ResponseWriter, r *http.Request) {
	workspace := ident.Workspace(r.URL.Query().Get("workspace"))
	view := s.Views.View()
	sink := s.newSink(w, r)
	if f := adviceFailure(view, workspace); f != nil {
		s.Metrics.CountRequest(f)
		sink.fail(f, refusalDetail{})
		return
	}
	header := w.Header()
	sink.setCommonHeaders(header)
	header.Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Workspace     ident.Workspace `json:"workspace"`
		TableRevision ident.Revision  `json:"table-revision"`
		Entries       []advisedEntry  `json:"entries"`
		KeyPrefix     string          `json:"key-prefix,omitempty"`
	}{workspace, sink.revision, s.advise(view, workspace), s.keyPrefix(view, workspace)})
}
