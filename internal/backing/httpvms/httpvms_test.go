package httpvms

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/fakevms"
)

func TestListReturnsAllFields(t *testing.T) {
	fake := fakevms.New(0)
	s := httptest.NewServer(fake)
	defer s.Close()
	want := backing.ListedVM{Name: "a", PeerAddress: "127.0.0.1:1", DataCentre: "d", Leaving: true}
	fake.Set([]backing.ListedVM{want})
	vms, err := New(s.URL, nil).List(context.Background())
	if err != nil || len(vms) != 1 || vms[0] != want {
		t.Fatalf("got %v, %v", vms, err)
	}
}

// The platform's list is updated with a delay; the client must accept an empty one.
func TestLaggingListIsEmpty(t *testing.T) {
	fake := fakevms.New(time.Hour)
	s := httptest.NewServer(fake)
	defer s.Close()
	fake.Set([]backing.ListedVM{{Name: "a", PeerAddress: "127.0.0.1:1"}})
	if vms, err := New(s.URL, nil).List(context.Background()); err != nil || len(vms) != 0 {
		t.Fatalf("got %v, %v", vms, err)
	}
}

// Each fault of the service must give ErrUnavailable, never a partial list.
func TestFaultsAreUnavailable(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"refused":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"reset":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"malformed":  func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`[{"name":`)) },
		"incomplete": func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`[{"name":"a"}]`)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(handler)
			defer s.Close()
			if _, err := New(s.URL, nil).List(context.Background()); !errors.Is(err, backing.ErrUnavailable) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
