// Command mulberryfork runs the daemons and tools of the load balancer.
package main

import "fmt"

func main() {
	fmt.Println("mulberryfork")
}
