// Command mangoshed is part of mangoshed.
package main

func main() {}
