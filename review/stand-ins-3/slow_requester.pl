# Stand-in for a requester that reads slowly, over a channel with the segment
# size of Ethernet and a small window. Prints what it got: how the channel ended,
# the bytes of the body and the head, each on a line.
use strict;
use warnings;
use Socket;
use Time::HiRes qw(sleep);

my ($port, $id, $host, $key, $path) = @ARGV;
use constant { SEGMENT_BYTES => 1460, WINDOW_BYTES => 8192 };
use constant { READ_BYTES => 1024, READ_GAP => 0.03 };

socket(my $channel, PF_INET, SOCK_STREAM, 0) or die "socket: $!\n";
setsockopt($channel, SOL_SOCKET, SO_RCVBUF, pack("i", WINDOW_BYTES)) or die "$!\n";
setsockopt($channel, 6, 2, pack("i", SEGMENT_BYTES)) or die "$!\n"; # TCP_MAXSEG
connect($channel, pack_sockaddr_in($port, inet_aton("127.0.0.1"))) or die "$!\n";
my @head = (
  "GET $path HTTP/1.1",
  "Host: $host",
  "Sycamorepulley-Attempt-Id: $id",
  "Sycamorepulley-Request-Deadline: 12000",
  "Sycamorepulley-Credential: $key",
);
syswrite($channel, join("\r\n", @head) . "\r\n\r\n");
my $received = "";
my $count;
while ($count = sysread($channel, my $bytes, READ_BYTES)) {
  $received .= $bytes;
  sleep(READ_GAP);
}
my $end = defined $count ? "end" : "reset";
my ($answer_head, $body) = split /\r\n\r\n/, $received, 2;
$body //= "";
$answer_head =~ s/\r\n/ | /g;
print "$end\n", length($body), "\n$answer_head\n";
