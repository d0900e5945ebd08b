# A requester that reads slowly over a path with the segments and the small
# window of an ordinary network. Prints one line: bytes of the body, how the
# channel ended ("closed" or "reset"), and the head.
use strict;
use warnings;
use Socket;

my ($host, $port, $window, $step, $pause, $request) = @ARGV;
$| = 1;
$request =~ s/\\r/\r/g;
$request =~ s/\\n/\n/g;
socket(my $socket, PF_INET, SOCK_STREAM, 6) or die "socket: $!";
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack("l", $window)) or die "window: $!";
# TCP_MAXSEG (2) of IPPROTO_TCP (6): the segments of an Ethernet.
setsockopt($socket, 6, 2, pack("l", 1460)) or die "segments: $!";
connect($socket, pack_sockaddr_in($port, inet_aton($host))) or die "connect: $!";
syswrite($socket, $request);
my $received = "";
my $ended = "";
while ($ended eq "") {
  my $count = sysread($socket, my $bytes, $step);
  if (!defined $count) { $ended = "reset"; }
  elsif ($count == 0) { $ended = "closed"; }
  else {
    $received .= $bytes;
    print "read " . length($received) . "\n";
  }
  select(undef, undef, undef, $pause);
}
my $end = index($received, "\r\n\r\n");
my $head = $end < 0 ? "" : substr($received, 0, $end);
my $body = $end < 0 ? "" : substr($received, $end + 4);
$head =~ s/\r\n/ | /g;
print "end $ended " . length($body) . " $head\n";
