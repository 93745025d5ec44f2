package result

import (
	"fmt"
	"strings"
)

// Markdown returns the table of result codes for docs/errors.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP status | meaning |\n| --- | --- | --- | --- |\n")
	for _, info := range Table {
		status := "—"
		if info.HTTPStatus != 0 {
			status = fmt.Sprint(info.HTTPStatus)
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", int(info.Code), info.Name, status, info.Summary)
	}
	return b.String()
}
