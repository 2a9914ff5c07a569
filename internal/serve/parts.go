package serve

import "strings"

// maxLoggedParts bounds the parts of a prompt in a log line. A caller may name thousands.
const maxLoggedParts = 16

// partsForLog returns the IDs of the first parts of the request's prompt, and "..." for the others.
func (l *lifecycle) partsForLog() string {
	if l.request.PromptParts == nil {
		return ""
	}
	var logged []string
	for id := range l.request.PromptParts {
		if len(logged) == maxLoggedParts {
			logged = append(logged, "...")
			break
		}
		logged = append(logged, id)
	}
	return strings.Join(logged, ",")
}
