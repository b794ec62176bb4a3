package httplog_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"currantpulley/internal/backing"
	"currantpulley/internal/backing/httplog"
)

// Guards against a record that counts as not appended although it was, because a late
// response to an earlier append on a kept connection said so.
func TestLateRejectionOfAnotherAppendIsNotBelieved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	appended := make(chan string, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveWithLateRejection(c, appended)
		}
	}()
	log := httplog.New("http://"+l.Addr().String(), nil)
	for _, record := range []string{"first", "second"} {
		_, err := log.Append(t.Context(), "calls", []byte(record))
		if got := <-appended; got != record {
			t.Fatalf("%q was appended, want %q", got, record)
		}
		if errors.Is(err, backing.ErrUnavailable) {
			t.Errorf("the record %q was appended and counts as not appended: %v", record, err)
		}
	}
}

// serveWithLateRejection appends each record. Before its second response it sends a
// rejection that belongs to another append.
func serveWithLateRejection(c net.Conn, appended chan<- string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		data, _ := io.ReadAll(r.Body)
		appended <- string(data)
		if number == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\nContent-Length: 12\r\n\r\n{\"offset\":1}")
	}
}
