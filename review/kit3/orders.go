package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// clientGap is the time between two requests of the clients.
const clientGap = 20 * time.Millisecond

// orders are clients that send orders steadily, each on a connection of its own.
type orders struct {
	bench *bench
	// key is their API key, prefix that of their IDs.
	key, prefix string

	mu           sync.Mutex
	sentAt       map[string]time.Duration
	sent, served int
}

func (o *orders) when(id string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sentAt[id]
}

func (o *orders) run(address string, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: bookingTimeout}
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(clientGap):
		}
		pending.Go(func() { o.order(client, address, fmt.Sprintf("%s-%d", o.prefix, n)) })
	}
}

func (o *orders) order(client *http.Client, address, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/puxa403/order", http.NoBody)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Mulberryfork-Attempt-Id", id)
	request.Header.Set("X-Mulberryfork-Deadline-Remaining", "1000")
	request.Header.Set("X-Api-Key", o.key)
	o.mu.Lock()
	o.sentAt[id] = o.bench.now()
	o.sent++
	o.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
		o.mu.Lock()
		o.served++
		o.mu.Unlock()
	}
}
