package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// malformedLines are lines of a head that no field may have: RFC 9112 allows no white space before the colon, and
// RFC 9110 allows only token characters in a name.
func malformedLines() []string {
	lines := []string{"Content-Length : 3", "Transfer-Encoding : chunked", "X Foo: 1", "X-Foo : 1", ": 1", "X-Foo", "X-\tFoo: 1", "X-Foo\t: 1", "Content-Length\t: 3"}
	for _, char := range []byte("\x00\x01\x0b\x0c\x1f\x7f\x80\xff\"(),/;<=>?@[\\]{}") {
		lines = append(lines, fmt.Sprintf("X%cFoo: 1", rune(char)), "X"+string([]byte{char})+"Foo: 1")
	}
	return lines
}

// TestMalformedFieldNamesAreRefused guards against answers whose framing is read wrongly, or that are passed on with a
// line that no client can read.
func TestMalformedFieldNamesAreRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for place, answer := range map[string]string{
		"first":            "HTTP/1.1 200 OK\r\n%s\r\nX-Id: r\r\nContent-Length: 12\r\n\r\n" + prefixBody,
		"last":             prefixHead + "Content-Length: 12\r\n%s\r\n\r\n" + prefixBody,
		"no length":        prefixHead + "%s\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"bare newlines":    "HTTP/1.1 200 OK\nX-Id: r\n%s\nContent-Length: 12\n\n" + prefixBody,
		"informational":    "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n" + framedAnswer,
		"surplus":          "HTTP/1.1 200 OK\r\nX-Id: q\r\n%s\r\nContent-Length: 5\r\n\r\nother" + framedAnswer,
		"surplus trailers": "HTTP/1.1 200 OK\r\nX-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n%s\r\n\r\n" + framedAnswer,
		"trailers":         prefixHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + prefixBody + "\r\n0\r\n%s\r\n\r\n",
		"announced":        prefixHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\n" + prefixBody + "\r\n0\r\nX-T: t\r\n%s\r\n\r\n",
	} {
		for _, line := range malformedLines() {
			go answerOnce(listener, strings.Replace(answer, "%s", line, 1))
			if status, body, err := read(t, listener.Addr().String()); err == nil {
				t.Errorf("%s, %q: status %d with body %q", place, line, status, body)
			}
		}
		go answerOnce(listener, strings.Replace(answer, "%s", "X-Foo: 1", 1))
		if _, _, err := read(t, listener.Addr().String()); err != nil {
			t.Errorf("%s, without a malformed line: %v", place, err)
		}
	}
}
