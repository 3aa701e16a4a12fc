package jobs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/room"
	"wagtailhoist/io/clock"
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
	// Forecast returns the forecast that is sent with an answer, and false if there is none; nil sends none.
	Forecast func() (room.Forecast, bool)
	// TakeForecast receives the forecast in an answer, with the time at which the call was sent; nil ignores forecasts.
	TakeForecast func(sent time.Time, f room.Forecast)
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

// sendItem posts an item to an owner and takes the forecast in its answer. An answer of any status is success, since the watch delivers the item anyway.
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
	sent := clock.Now()
	resp, err := n.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if n.TakeForecast == nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, room.MaxEncoded+1))
	if err != nil || len(answer) == 0 {
		// The item was delivered; the forecast of a later answer takes the place of this one.
		return nil
	}
	f, err := room.Decode(answer)
	if err != nil {
		n.Log.Warn("forecast of the owner can't be decoded; ignored", "owner", owner, "error", err)
		return nil
	}
	n.TakeForecast(sent, f)
	return nil
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
	n.answerForecast(w)
}

// answerForecast writes the present forecast, if there is one. Processes of older versions don't read the answer.
func (n *Notifier) answerForecast(w http.ResponseWriter) {
	if n.Forecast == nil {
		return
	}
	f, ok := n.Forecast()
	if !ok {
		return
	}
	data, err := f.Encode()
	if err != nil {
		n.Log.Error("forecast can't be encoded; none is sent", "error", err)
		return
	}
	// The sender has the forecast of a later answer if this one is lost.
	_, _ = w.Write(data)
}
