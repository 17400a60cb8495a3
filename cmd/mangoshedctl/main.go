// Command mangoshedctl is part of mangoshed.
package main

func main() {}
