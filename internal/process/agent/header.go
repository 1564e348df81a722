package agent

import (
	"net/http"
	"strings"
)

// connectionHeaders are the hop-by-hop headers, which concern a single connection (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// dropConnectionHeaders removes hop-by-hop headers, including those listed in the Connection header. It applies to
// every header that another party chose before it is sent on: those of callers, items and replicas.
func dropConnectionHeaders(header http.Header) {
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}
