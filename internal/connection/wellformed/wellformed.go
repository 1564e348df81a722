// Package wellformed checks what net/http accepts in a response although HTTP does not allow it.
package wellformed

import (
	"errors"
	"net/http"
	"strings"
)

// ErrFieldName is returned for a header or trailer whose name has a space, as in "Content-Length : 3". Such a field may
// be meant for the framing of the response, which then is unknown.
var ErrFieldName = errors.New("the name of a field has a space")

// Fields returns ErrFieldName if the name of a field has a space. It is the only character outside a token that net/http
// accepts there (RFC 9110, section 5.1).
func Fields(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return ErrFieldName
		}
	}
	return nil
}
