package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Transport is an http.Transport that passes on only answers that are valid HTTP. http.Transport accepts more: it
// reads fields whose names hold blanks, also where the name without them would say how long the body is.
//
// An answer that isn't valid is an InvalidAnswerError: of RoundTrip, or of a read of the body if that shows only at its
// end. Its connection isn't used again.
type Transport struct{ *http.Transport }

// NewControlTransport returns a transport for the control plane. If reuse is set, connections are kept for further
// requests. A nil dial uses TCP.
func NewControlTransport(dial DialFunc, reuse bool) *Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Transport{&http.Transport{DialContext: dialConn(dial), DisableKeepAlives: !reuse, MaxResponseHeaderBytes: MaxHeadBytes}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	reading := &answerReading{}
	response, err := t.Transport.RoundTrip(request.WithContext(reading.trace(request.Context())))
	if err != nil {
		return nil, withoutBytes(err)
	}
	if reason := headFault(request, response); reason != "" {
		reading.closeConnection(response)
		_ = response.Body.Close()
		return nil, &InvalidAnswerError{Reason: reason}
	}
	if response.ContentLength < 0 && response.StatusCode != http.StatusSwitchingProtocols {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, reading: reading}
	}
	return response, nil
}

// answerReading is the reading of the answer to one request.
type answerReading struct {
	mutex sync.Mutex
	// connection is the one that net/http chose last.
	connection net.Conn
	// requestWritten receives the outcome of writing the request to it.
	requestWritten chan error
	// informational is the size of the informational heads so far.
	informational int
}

// trace returns a context by which net/http tells what it does.
func (a *answerReading) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.mutex.Lock()
			defer a.mutex.Unlock()
			a.connection, a.requestWritten = info.Conn, make(chan error, 1)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			a.mutex.Lock()
			defer a.mutex.Unlock()
			if a.requestWritten == nil {
				return
			}
			select {
			case a.requestWritten <- info.Err:
			default: // of an earlier connection
			}
		},
		Got1xxResponse: a.checkInformational,
	})
}

// checkInformational checks the head of an informational answer. net/http bounds the heads of all of them together only
// if nobody looks at them.
func (a *answerReading) checkInformational(_ int, header textproto.MIMEHeader) error {
	a.informational += informationalHeadBytes
	for name, values := range header {
		for _, value := range values {
			a.informational += len(name) + len(value)
		}
	}
	if a.informational > MaxHeadBytes {
		return &InvalidAnswerError{Reason: "the informational answers are too long"}
	}
	if reason := fieldFault(http.Header(header)); reason != "" {
		return &InvalidAnswerError{Reason: reason}
	}
	return nil
}

// informationalHeadBytes is what an informational answer counts beside its fields.
const informationalHeadBytes = 32

// closeConnection closes the connection of an HTTP/1 answer. net/http may have put it among those for further requests
// already.
func (a *answerReading) closeConnection(response *http.Response) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if response.ProtoMajor == 1 && a.connection != nil {
		_ = a.connection.Close()
	}
}

// errRequestUnfinished means that an answer ended with its connection before its request was written.
var errRequestUnfinished = errors.New("the request was not written whole")

// awaitRequest waits until the request is written, for unfinishedWriteLimit at most: the answer may have overtaken the
// return of the last write.
func (a *answerReading) awaitRequest() error {
	a.mutex.Lock()
	written := a.requestWritten
	a.mutex.Unlock()
	timeout := time.NewTimer(unfinishedWriteLimit)
	defer timeout.Stop()
	select {
	case err := <-written:
		return err
	case <-timeout.C:
		return errRequestUnfinished
	}
}

// checkedBody is the body of an answer of unknown length. What its end shows is checked before the end is reported.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	reading  *answerReading
	// ended is the checked end, once it has been reached.
	ended error
}

// Read implements io.Reader.
func (b *checkedBody) Read(into []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	count, err := b.ReadCloser.Read(into)
	switch {
	case err == io.EOF:
		b.ended = b.checkEnd()
	case err != nil:
		b.ended = withoutBytes(err)
	}
	return count, b.ended
}

// checkEnd returns io.EOF if the answer is whole and valid.
func (b *checkedBody) checkEnd() error {
	if reason := fieldFault(b.response.Trailer); reason != "" {
		b.reading.closeConnection(b.response)
		return &InvalidAnswerError{Reason: "a trailer: " + reason}
	}
	if EndsWithConnection(b.response) {
		if err := b.reading.awaitRequest(); err != nil {
			return errors.Wrap(err, "the answer ended with its connection")
		}
	}
	return io.EOF
}

// EndsWithConnection reports whether the answer has neither a length nor chunks.
func EndsWithConnection(answer *http.Response) bool {
	return answer.ProtoMajor == 1 && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}
