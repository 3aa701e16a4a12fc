package jobs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// NotifyPath is where an entry takes items that another one has just stored.
	NotifyPath = "/item"
	// noticeLimit bounds a notice; without it the owner's watch shows the item.
	noticeLimit = 500 * time.Millisecond
	// maxNotice bounds a notice in bytes: a job of the largest body and its terms.
	maxNotice = 1 << 20
)

// Notifier passes stored items on to the owner, so that work doesn't wait for a watch that is late.
type Notifier struct {
	Mirror *mirror.Mirror
	// Self is the address of this process, which needs no notice.
	Self  string
	Token string
	HTTP  *http.Client
	Log   *slog.Logger
}

// Notify sends an item to the owner in the background.
func (n *Notifier) Notify(item store.Item) {
	owner := n.Mirror.Owner()
	if owner == "" || owner == n.Self {
		return
	}
	go func() {
		if err := n.send(owner, item); err != nil {
			n.Log.Info("owner not told", "owner", owner, "key", item.Key, "error", err)
		}
	}()
}

func (n *Notifier) send(owner string, item store.Item) error {
	body, err := cbor.Marshal(item)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+owner+NotifyPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+n.Token)
	resp, err := n.HTTP.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ServeHTTP takes an item of another entry.
func (n *Notifier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+n.Token {
		http.Error(w, "token refused", http.StatusUnauthorized)
		return
	}
	var item store.Item
	data, err := io.ReadAll(io.LimitReader(r.Body, maxNotice))
	if err == nil {
		err = cbor.Unmarshal(data, &item)
	}
	if err != nil || item.Version == 0 {
		http.Error(w, "item not readable", http.StatusBadRequest)
		return
	}
	n.Mirror.Merge(item)
}
