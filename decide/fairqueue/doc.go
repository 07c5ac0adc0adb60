// Package fairqueue shares one upstream among guild members by the token cost
// of their requests, with start-time fair queueing.
//
// Each member has a bounded queue and a start tag in virtual time, which grows
// by cost over weight with each request taken. The member with the lowest tag
// is next, so that an idle member's share goes to the others and is not saved
// up. Priority reorders a member's own queue, where waiting time makes up for
// it, and moves a member ahead of others by a bounded number of tokens, which
// its tags still pay for.
//
// A request that has started cannot be taken back, so lent room would make a
// member within its share wait for the next completion. Members that used more
// than their share therefore leave some headroom while others run. All operations take O(log n).
package fairqueue
