package emul

import "strings"

const (
	markerStart = "[workspace:"
	markerEnd   = "]"
)

// WorkspaceMarker returns a text that identifies the workspace. A test puts it into a
// prompt or a body, so that the log of an upstream shows whose data reached it.
func WorkspaceMarker(workspace string) string {
	return markerStart + workspace + markerEnd
}

// MarkedWorkspace returns the workspace of the first marker in the text, or "".
func MarkedWorkspace(text string) string {
	_, rest, found := strings.Cut(text, markerStart)
	if !found {
		return ""
	}
	name, _, found := strings.Cut(rest, markerEnd)
	if !found {
		return ""
	}
	return name
}
