package jobs

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/io/intake"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// NotifyPath is the path to which an entry posts an item that it has just stored.
	NotifyPath = "/item"
	// notifyTimeout bounds a notification; if it fails, the owner's watch still delivers the item.
	notifyTimeout = 500 * time.Millisecond
	// maxNotificationBytes bounds a notification: a job with the largest body and its other fields.
	maxNotificationBytes = 1 << 20
)

// Notifier sends stored items to the owner, so that their jobs don't wait for a late watch. As an http.Handler it receives
// them at the owner.
type Notifier struct {
	Mirror *mirror.Mirror
	// Self is the address of this process, which isn't notified if it is the owner.
	Self string
	// Token is the shared secret that authenticates notifications.
	Token string
	HTTP  *http.Client
	Log   *slog.Logger
	// Bodies reads received notifications within a memory budget; nil means one with the default limit of intake.Bodies.
	Bodies *intake.Bodies

	defaultBodies intake.Bodies
}

// Notify sends an item to the owner in the background. It does nothing if this process is the owner or no owner is known.
func (n *Notifier) Notify(item store.Item) {
	owner := n.Mirror.Owner()
	if owner == "" || owner == n.Self {
		return
	}
	go func() {
		if err := n.sendItem(owner, item); err != nil {
			n.Log.Info("owner not notified of a stored item; its watch delivers the item", "owner", owner, "key", item.Key, "error", err)
		}
	}()
}

// sendItem posts an item to an owner. An answer of any status is success, since the watch delivers the item anyway.
func (n *Notifier) sendItem(owner string, item store.Item) error {
	body, err := cbor.Marshal(item)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
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

// ServeHTTP receives an item from another entry and merges it into the mirror.
func (n *Notifier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+n.Token {
		intake.DropBody(w, r)
		http.Error(w, "token refused", http.StatusUnauthorized)
		return
	}
	bodies := n.Bodies
	if bodies == nil {
		bodies = &n.defaultBodies
	}
	body, err := bodies.Read(w, r, intake.Address(r), maxNotificationBytes, time.Now().Add(notifyTimeout))
	if err != nil {
		http.Error(w, err.Error(), intake.StatusCode(err))
		return
	}
	defer body.Release()
	var item store.Item
	if err := cbor.Unmarshal(body.Bytes(), &item); err != nil || item.Version == 0 {
		http.Error(w, "item can't be decoded or has no version", http.StatusBadRequest)
		return
	}
	n.Mirror.Merge(item)
}
