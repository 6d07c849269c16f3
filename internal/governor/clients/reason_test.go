package clients

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
)

// TestReasonOf checks the cause and detail for each kind of connection error. Unknown errors are reported in the detail.
func TestReasonOf(t *testing.T) {
	for _, test := range []struct {
		err           error
		cause, detail string
	}{
		{nil, "", ""},
		{io.EOF, "closed by the peer", ""},
		{fmt.Errorf("read: %w", os.ErrDeadlineExceeded), "silent", ""},
		{io.ErrUnexpectedEOF, "cut", "unexpected EOF"},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), "cut", "read: connection reset by peer"},
		{io.ErrClosedPipe, "failed", "io: read/write on closed pipe"},
		{errors.New("no buffer space"), "failed", "no buffer space"},
	} {
		if cause, detail := reasonOf(test.err); cause != test.cause || detail != test.detail {
			t.Errorf("%v: %q, %q, want %q, %q", test.err, cause, detail, test.cause, test.detail)
		}
	}
}
