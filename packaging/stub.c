/*
 * Start lycheepost from one file, as one process.
 *
 * The file is this program with an archive behind it and a trailer at the end.
 * The program unpacks the archive once into a private folder of a memory-backed
 * file system and replaces itself with the program found there (execve), so
 * that no parent process stays behind. PyInstaller's own one-file mode keeps a
 * parent that waits for a child, which the users do not allow.
 *
 * Archive entry: u32 path length, u32 mode, u64 size, path, data. A mode with
 * the link bits set holds the link's target as data. Integers are little-endian.
 * Trailer: u64 archive offset, 16 hex characters of the archive's hash, magic.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "LPOSTBIN"
#define HASH_CHARACTERS 16
#define PATH_BYTES 4096
#define COPY_BYTES 65536

struct trailer {
    uint64_t archive_offset;
    char hash[HASH_CHARACTERS];
    char magic[8];
};

struct entry {
    uint32_t path_bytes;
    uint32_t mode;
    uint64_t size_bytes;
} __attribute__((packed));

static void die(const char *what)
{
    fprintf(stderr, "lycheepost: %s: %s\n", what, strerror(errno));
    exit(1);
}

static void read_whole(int fd, void *buffer, size_t n_bytes)
{
    char *to = buffer;
    while (n_bytes > 0) {
        ssize_t n_read = read(fd, to, n_bytes);
        if (n_read <= 0)
            die("the file is cut short");
        to += n_read;
        n_bytes -= (size_t)n_read;
    }
}

static void join(char *path, size_t path_bytes, const char *folder, const char *name)
{
    int n_bytes = snprintf(path, path_bytes, "%s/%s", folder, name);
    if (n_bytes < 0 || (size_t)n_bytes >= path_bytes) {
        errno = ENAMETOOLONG;
        die(name);
    }
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            die(path);
        *slash = '/';
    }
}

static void copy_file(int fd, const char *path, uint32_t mode, uint64_t size_bytes)
{
    static char buffer[COPY_BYTES];
    int out = open(path, O_WRONLY | O_CREAT | O_EXCL, mode & 0700);
    if (out < 0)
        die(path);
    while (size_bytes > 0) {
        size_t part = size_bytes < COPY_BYTES ? (size_t)size_bytes : COPY_BYTES;
        read_whole(fd, buffer, part);
        for (size_t done = 0; done < part;) {
            ssize_t n_written = write(out, buffer + done, part - done);
            if (n_written <= 0)
                die(path);
            done += (size_t)n_written;
        }
        size_bytes -= part;
    }
    close(out);
}

static void copy_link(int fd, const char *path, uint64_t size_bytes)
{
    char to[PATH_BYTES];
    if (size_bytes >= sizeof to)
        die("a link in the archive is too long");
    read_whole(fd, to, (size_t)size_bytes);
    to[size_bytes] = '\0';
    if (symlink(to, path) != 0)
        die(path);
}

static void unpack(int fd, const struct trailer *end, uint64_t end_offset,
                   const char *folder)
{
    if (lseek(fd, (off_t)end->archive_offset, SEEK_SET) < 0)
        die("seek");
    uint64_t offset = end->archive_offset;
    while (offset < end_offset) {
        struct entry entry;
        char name[PATH_BYTES], path[PATH_BYTES * 2];
        read_whole(fd, &entry, sizeof entry);
        if (entry.path_bytes >= sizeof name)
            die("a path in the archive is too long");
        read_whole(fd, name, entry.path_bytes);
        name[entry.path_bytes] = '\0';
        join(path, sizeof path, folder, name);
        make_parents(path);
        if (S_ISLNK(entry.mode))
            copy_link(fd, path, entry.size_bytes);
        else
            copy_file(fd, path, entry.mode, entry.size_bytes);
        offset += sizeof entry + entry.path_bytes + entry.size_bytes;
    }
}

/*
 * A folder that somebody else made under a known name could hold their program.
 * Only a folder of our own user that nobody else may write to is used.
 */
static int is_ours(const char *folder)
{
    struct stat found;
    if (lstat(folder, &found) != 0)
        return 0;
    if (!S_ISDIR(found.st_mode) || found.st_uid != geteuid() ||
        (found.st_mode & 077) != 0) {
        errno = EPERM;
        die(folder);
    }
    return 1;
}

int main(int argc, char **argv)
{
    (void)argc;
    struct trailer end;
    int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        die("/proc/self/exe");
    off_t end_offset = lseek(fd, -(off_t)sizeof end, SEEK_END);
    read_whole(fd, &end, sizeof end);
    if (end_offset < 0 || memcmp(end.magic, MAGIC, sizeof end.magic) != 0) {
        errno = EINVAL;
        die("the archive is missing");
    }
    const char *base = getenv("LYCHEEPOST_UNPACK_FOLDER");
    if (base == NULL || base[0] == '\0')
        base = "/tmp";
    char folder[PATH_BYTES], fresh[PATH_BYTES + 16], program[PATH_BYTES + 16];
    snprintf(folder, sizeof folder, "%s/lycheepost-%u-%.*s", base,
             (unsigned)geteuid(), HASH_CHARACTERS, end.hash);
    if (!is_ours(folder)) {
        /* Unpacked under another name first: a half-unpacked folder never
         * stands under the final name, whenever the start is interrupted. */
        snprintf(fresh, sizeof fresh, "%s.XXXXXX", folder);
        if (mkdtemp(fresh) == NULL)
            die(fresh);
        unpack(fd, &end, (uint64_t)end_offset, fresh);
        if (rename(fresh, folder) != 0 && !is_ours(folder))
            die(folder);
    }
    close(fd);
    join(program, sizeof program, folder, "lycheepost");
    execv(program, argv);
    die(program);
}
