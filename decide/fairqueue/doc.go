// Package fairqueue implements start-time fair queueing: it shares one upstream
// among guild members by weight, measured in the token cost of their requests.
//
// Each member has a bounded queue and a start tag in virtual time. Each request
// taken from the queue advances the tag by its cost divided by the weight. The
// member with the lowest tag is served next, so the share of an idle member is
// used by the others and does not accumulate. Priorities reorder a member's own
// queue, with aging to prevent starvation. They also move a member ahead of
// others by a bounded number of tokens, but the cost is still charged to its
// tag.
//
// Members may borrow idle capacity. Running requests are not preempted, so a
// member within its share would have to wait for the next completion if the
// others had borrowed all of it. Members above their share therefore leave some
// headroom while others run. All operations take O(log n), except Ahead and Displace, which
// take O(n) in the requests of the member and in the members.
package fairqueue
