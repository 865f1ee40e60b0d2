#ifndef AGATECRANK_BASE_BIGENDIAN_H
#define AGATECRANK_BASE_BIGENDIAN_H

#include <glib.h>
#include <stdint.h>

/**
 * BigEndian_Append() - append an unsigned integer, most significant byte first
 * @number: its high bytes are dropped if @bytes is less than 8
 * @bytes: number of bytes to append, at most 8
 */
void BigEndian_Append(GString *out, uint64_t number, size_t bytes);

/**
 * BigEndian_Read() - read an unsigned integer, most significant byte first
 * @bytes: number of bytes at @data, at most 8
 */
uint64_t BigEndian_Read(const char *data, size_t bytes);

#endif
